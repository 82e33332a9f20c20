-- Guards against new work for a minion that has announced its leaving, or that
-- was killed without an announcement.
local bound_ms = 5000
local cluster = start_cluster({ entries = 2, agents = 3, slots = 2 })
local leaving, dying = cluster.backends[1], cluster.backends[2]

local function submit_jobs(count, tag, work_ms)
  local jobs = {}
  for n = 1, count do
    jobs[n] = submit(cluster.entries[n % 2 + 1], { tasks = 4, work_ms = work_ms or 40, tag = tag })
  end
  return jobs
end

-- Announced: running tasks are finished, and no new ones start.
local jobs = submit_jobs(10, "leave")
local left = request("POST", cluster.agents[1].http, "/v1/leave", {}).await()
expect(left.status == 200, "leave refused: %s", left.text)
for _, job in ipairs(jobs) do expect_complete_answer(job.await(), 4, "leave") end
-- While the minion is frozen it can't announce itself again, so it stays marked
-- as leaving, and a task that was started on it would hang.
leaving:freeze()
request("POST", cluster.agents[1].http, "/v1/leave", {}).await()
for _, entry in ipairs(cluster.entries) do
  eventually(entry.name .. " knows that the minion leaves", function()
    for _, agent in ipairs(status_of(entry).agents) do
      if agent.id == "a1" then return agent.draining end
    end
  end)
end
for _, job in ipairs(submit_jobs(10, "left")) do expect_complete_answer(job.await(), 4, "left") end
leaving:thaw()
expect(count_runs({ leaving }, "left") == 0, "new tasks ran on the leaving minion")
leaving:term()

-- Unannounced: jobs with tasks on it fail with the effect may_have_run, and
-- then it gets no new tasks.
jobs = submit_jobs(10, "die", 400)
eventually("the minion runs tasks", function() return count_runs({ dying }, "die") > 0 end)
dying:kill()
local failed = 0
for _, job in ipairs(jobs) do
  local answer = job.await()
  if answer.status ~= 200 then
    expect(answer.json.error.effect == "may_have_run", "wrong effect: %s", answer.text)
    failed = failed + 1
  end
end
expect(failed > 0, "tasks on the dead minion ran again elsewhere")
eventually("the entry no longer lists the dead minion", function()
  for _, agent in ipairs(status_of(cluster.entries[1]).agents) do
    if agent.id == "a2" then return agent.service == "" end
  end
end, bound_ms * 4)
for _, job in ipairs(submit_jobs(10, "dead")) do expect_complete_answer(job.await(), 4, "dead") end
expect_no_task_twice({ cluster.backends[3] })
