-- Guards against a start that is held back by the network and runs after its
-- entry has given up the job. The caller submits the job again 1.3 s after the
-- answer, and the task could then have two runs.
local cluster = start_cluster({ entries = 1, agents = 1, slots = 4, repeat_after_ms = 1300 })
local entry, backends = cluster.entries[1], cluster.backends
for round = 1, 3 do
  local tag = "held-" .. round
  entry.agent_link.cut("stall")
  local answer = submit(entry, { tag = tag }).await()
  expect(answer.status ~= 200, "a job without a minion has succeeded")
  expect(answer.json.error.effect == "may_have_run", "wrong effect: %s", answer.text)
  host.run(100)
  entry.agent_link.heal()
  eventually("a complete answer after the partition", function()
    return submit(entry, { tag = "after-" .. round }).await().status == 200
  end)
  host.run(300)
  expect(count_runs(backends, tag) == 0, "%d runs of a job that was given up", count_runs(backends, tag))
end
expect_no_task_twice(backends)
