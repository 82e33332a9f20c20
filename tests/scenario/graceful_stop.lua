-- Guards against a planned stop that loses requests in flight: an entry and an
-- agent get SIGTERM while jobs run on them and wait.
local cluster = start_cluster({ entries = 2, agents = 3, slots = 2 })
local entry, agent = cluster.entries[1], cluster.agents[1]

-- An entry answers every job in flight and exits with 0.
local jobs = {}
for n = 1, 10 do jobs[n] = submit(entry, { tasks = 4, work_ms = 150, tag = "e" .. n }) end
host.run(100)
entry:term()
for n, job in ipairs(jobs) do expect_complete_answer(job.await(), 4, "e" .. n) end
expect(entry:await_exit() == 0, "exit code of the entry")
expect_complete_answer(submit(cluster.entries[2], { tasks = 4 }).await(), 4)

-- An agent finishes its running tasks and returns the waiting ones to the
-- entries, which start them elsewhere.
jobs = {}
for n = 1, 15 do
  jobs[n] = submit(cluster.entries[2], { tasks = 4, work_ms = 150, tag = "a" .. n })
end
host.run(100)
agent:term()
for n, job in ipairs(jobs) do expect_complete_answer(job.await(), 4, "a" .. n) end
expect(agent:await_exit() == 0, "exit code of the agent")
expect_no_task_twice(cluster.backends)
