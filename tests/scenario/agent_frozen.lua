-- Guards against an agent that, after a pause, starts what waited in its
-- sockets although the entry has given it up.
local cluster = start_cluster({ entries = 1, agents = 2, slots = 2 })
local entry = cluster.entries[1]
local first = submit(entry, { tasks = 4, work_ms = 50 }).await()
expect_whole(first, 4)
cluster.agents[1]:freeze()
local jobs = {}
for n = 1, 10 do
  jobs[n] = submit(entry, { tasks = 4, work_ms = 30, deadline_ms = 8000, tag = "f" .. n })
end
-- Every job is decided while the agent is still frozen.
local before = {}
for n, job in ipairs(jobs) do
  before[n] = job.await()
  expect(before[n].status ~= 0, "no answer: %s", before[n].text)
end
local counted = #(cluster.backends[1].executions().tasks or {})
cluster.agents[1]:thaw()
eventually("the agent is back", function()
  local status = status_of(entry)
  for _, agent in ipairs(status.agents) do
    if agent.id == "a1" and agent.connected then return true end
  end
end)
expect(submit(entry, { tasks = 2 }).await().status == 200, "no work after the thaw")
expect_no_task_twice(cluster.backends)
for n, answer in ipairs(before) do
  if answer.status == 200 then
    expect_whole(answer, 4, "f" .. n)
  else
    local effect = answer.json.error.effect
    expect(effect == "may_have_run" or effect == "not_run", "wrong effect: %s", answer.text)
    if effect == "not_run" then
      for _, backend in ipairs(cluster.backends) do
        for _, record in ipairs(backend.executions().tasks or {}) do
          expect(record.job ~= answer.json.job, "a job said to be not run has run: %s", answer.text)
        end
      end
    end
  end
end
