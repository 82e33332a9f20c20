-- Guards against an agent that, after a pause, executes the starts that waited
-- in its sockets although the entry has ended its session with the agent. The
-- agent process is stopped, jobs are submitted until all are decided, and then
-- the process continues.
local cluster = start_cluster({ entries = 1, agents = 2, slots = 2 })
local entry = cluster.entries[1]
local first = submit(entry, { tasks = 4, work_ms = 50 }).await()
expect_complete_answer(first, 4)
-- These run on both agents when one is frozen; results from the frozen one
-- are lost.
local running = submit(entry, { tasks = 4, work_ms = 400, tag = "running" })
eventually("both agents run tasks", function()
  return count_runs({ cluster.backends[1] }, "running") > 0
end)
cluster.agents[1]:freeze()
local jobs = {}
for n = 1, 10 do
  jobs[n] = submit(entry, { tasks = 4, work_ms = 30, deadline_ms = 8000, tag = "f" .. n })
end
-- Every job must get an answer while the agent is still frozen.
local before = {}
for n, job in ipairs(jobs) do
  before[n] = job.await()
  expect(before[n].status ~= 0, "no answer: %s", before[n].text)
end
local lost = running.await()
expect(lost.status ~= 200 and lost.json.error.effect == "may_have_run",
  "the tasks on the frozen agent: %s", lost.text)
cluster.agents[1]:thaw()
eventually("the agent is connected again", function()
  local status = status_of(entry)
  for _, agent in ipairs(status.agents) do
    if agent.id == "a1" and agent.connected then return true end
  end
end)
expect(submit(entry, { tasks = 2 }).await().status == 200, "a job after the thaw failed")
-- The lost session and the expired announcement also stop the starts in its
-- sockets, so only this counter shows that the agent detected its pause.
local metrics = request("GET", cluster.agents[1].http, "/metrics").await().text
expect(tonumber(metrics:match("\njayrill_agent_pauses_total (%d+)") or 0) > 0,
  "the agent has not noticed its pause: %s", metrics)
expect_no_task_twice(cluster.backends)
for n, answer in ipairs(before) do
  expect_consistent_outcome(cluster.backends, answer, 4, "f" .. n)
  if answer.status ~= 200 then
    local effect = answer.json.error.effect
    expect(effect == "may_have_run" or effect == "not_run", "wrong effect: %s", answer.text)
  end
end
