-- Guards against a start that runs twice, or an answer that is lost, when the
-- connections between agents and an entry are cut with starts in flight. They
-- are closed in two rounds and stalled in one, and restored after 300 ms.
local cluster = start_cluster({ entries = 2, agents = 3, slots = 4 })
local entry = cluster.entries[1]
for round, mode in ipairs({ "close", "stall", "close" }) do
  local jobs = {}
  for n = 1, 10 do
    jobs[n] = submit(entry, { tasks = 6, work_ms = 60, tag = round .. "-" .. n })
  end
  host.run(80)
  entry.agent_link.cut(mode)
  host.run(300)
  entry.agent_link.heal()
  for n, job in ipairs(jobs) do
    expect_consistent_outcome(cluster.backends, job.await(), 6, round .. "-" .. n)
  end
  expect_no_task_twice(cluster.backends)
  -- The session recovers: new jobs get complete answers again.
  eventually("a complete answer after the cut", function()
    return submit(entry, { tasks = 4, tag = "after" }).await().status == 200
  end)
end
expect_no_task_twice(cluster.backends)
