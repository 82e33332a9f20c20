-- Guards against a second start of a task that a killed agent may have started,
-- and against a job that hangs or gets a partial answer. The agent is killed
-- while jobs of two entries run on it.
local cluster = start_cluster({ entries = 2, agents = 3, slots = 2 })
local jobs = {}
for n = 1, 20 do
  jobs[n] = submit(cluster.entries[n % 2 + 1],
    { tasks = 6, work_ms = 100, deadline_ms = 20000, tag = "k" .. n })
end
host.run(150)
cluster.agents[1]:kill()
local whole, failed = 0, 0
for n, job in ipairs(jobs) do
  local answer = job.await()
  if answer.status == 200 then
    expect_complete_answer(answer, 6, "k" .. n)
    whole = whole + 1
  else
    expect(answer.json.error.effect == "may_have_run", "wrong effect: %s", answer.text)
    failed = failed + 1
  end
end
expect(failed > 0, "no job failed: no task ran on the agent when it was killed")
expect_no_task_twice(cluster.backends)
cluster.agents[1]:restart()
for _, entry in ipairs(cluster.entries) do await_agents(entry, 3) end
expect(submit(cluster.entries[1], { tasks = 12 }).await().status == 200, "a job after the restart failed")
expect_no_task_twice(cluster.backends)
