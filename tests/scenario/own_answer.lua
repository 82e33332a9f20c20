-- Guards against an answer that reaches the wrong caller. Callers abort their
-- requests and submit again, an entry is restarted under the same addresses,
-- and results for its earlier connections and its earlier process arrive late.
local cluster = start_cluster({ entries = 2, agents = 2, slots = 4 })
for round = 1, 4 do
  local jobs = {}
  for n = 1, 16 do
    local tag = "o" .. round .. "-" .. n
    local entry = cluster.entries[n % 2 + 1]
    local handle = submit(entry, { tasks = 3, work_ms = 40, tag = tag })
    if n % 4 == 0 then
      handle.abort()
      handle = submit(entry, { tasks = 3, work_ms = 30, tag = tag })
    end
    jobs[n] = { handle = handle, tag = tag }
  end
  if round == 2 then cluster.entries[1].agent_link.cut("stall") end
  if round == 3 then
    cluster.entries[1]:kill()
    cluster.entries[1]:restart()
  end
  host.run(400)
  cluster.entries[1].agent_link.heal()
  for _, job in ipairs(jobs) do
    local answer = job.handle.await()
    if answer.status == 200 then expect_complete_answer(answer, 3, job.tag) end
  end
  for _, entry in ipairs(cluster.entries) do
    await_ready(entry)
    await_agents(entry, 2)
  end
  expect_complete_answer(submit(cluster.entries[1], { tasks = 8, tag = "next" }).await(), 8, "next")
end
expect_no_task_twice(cluster.backends)
