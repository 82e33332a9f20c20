-- Guards against results that are lost, duplicated or swapped between jobs when
-- several entries use the same minions: 60 jobs of 1 to 40 tasks go to three
-- entries.
local cluster = start_cluster({ entries = 3, agents = 3 })
local jobs = {}
for n = 1, 60 do
  local tag = "job" .. n
  local tasks = (n * 7) % 40 + 1
  jobs[n] = { tasks = tasks, tag = tag,
    handle = submit(cluster.entries[n % 3 + 1], { tasks = tasks, tag = tag, work_ms = 5 }) }
end
local sum = 0
for _, job in ipairs(jobs) do
  expect_complete_answer(job.handle.await(), job.tasks, job.tag)
  sum = sum + job.tasks
end
expect(total_executions(cluster.backends) == sum, "executions differ from tasks")
