-- Guards against starts and results of an earlier connection that are accepted
-- after the session was lost. An agent is frozen with starts in its sockets
-- while its connections are cut and restored, and a stalled route delivers
-- results only after the entry has stopped waiting for them.
local cluster = start_cluster({ entries = 2, agents = 2, slots = 2 })
local entry, backends = cluster.entries[1], cluster.backends
for round, case in ipairs({
  { freeze = true, cut = "close", span_ms = 4500 },
  { freeze = true, cut = "stall", span_ms = 1500 },
  { freeze = false, cut = "stall", span_ms = 4500 },
  { freeze = false, cut = "stall", span_ms = 1200 },
}) do
  local jobs = {}
  local function submit_jobs(first, last, work_ms)
    for n = first, last do
      local tag = round .. "-" .. n
      jobs[n] = { tag = tag, handle = submit(entry, { tasks = 3, work_ms = work_ms, tag = tag }) }
    end
  end
  submit_jobs(1, 4, 300)
  host.run(100)
  if case.freeze then cluster.agents[1]:freeze() end
  submit_jobs(5, 12, 30)
  host.run(100)
  entry.agent_link.cut(case.cut)
  host.run(case.span_ms)
  entry.agent_link.heal()
  -- The starts of these jobs get their numbers while late results of earlier
  -- starts arrive, which must not be taken for theirs.
  submit_jobs(13, 18, 20)
  host.run(200)
  if case.freeze then cluster.agents[1]:thaw() end
  for _, job in ipairs(jobs) do job.answer = job.handle.await() end
  await_agents(entry, 2)
  for _, job in ipairs(jobs) do expect_consistent_outcome(backends, job.answer, 3, job.tag) end
  eventually("a complete answer after the cut", function()
    return submit(entry, { tasks = 4, tag = "after" .. round }).await().status == 200
  end)
end
expect_no_task_twice(backends)
