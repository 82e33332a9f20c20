-- Guards against a team that exceeds its quota by submitting to all entries,
-- and against a quota that leaves the team far below it or delays other teams.
local quota = 6
local cluster = start_cluster({ entries = 3, agents = 3, slots = 8 })
local entries = cluster.entries
expect(operator(entries[1], "PUT", "/v1/teams/limited",
  { max_running = quota, reason = "scenario" }).status == 200, "quota refused")
local revision = status_of(entries[1]).revision
eventually("the quota is in force", function()
  for _, entry in ipairs(entries) do
    if status_of(entry).revision < revision then return false end
  end
  return true
end)

local work_ms = 200
local limited = {}
for n = 1, 18 do
  limited[n] = submit(entries[n % 3 + 1], { team = "limited", tasks = 6, work_ms = work_ms, tag = "q" .. n })
end
for n, job in ipairs(limited) do expect_complete_answer(job.await(), 6, "q" .. n) end

-- The status values of the agents differ in age, so their sum can count both a
-- task that has ended on one agent and the next one on another. The records of
-- the minions are exact: every task runs for work_ms from its start.
local starts = {}
for _, backend in ipairs(cluster.backends) do
  for _, record in ipairs(backend.executions().tasks or {}) do
    starts[#starts + 1] = record.first_start_unix_ms
  end
end
expect(#starts == 18 * 6, "%d tasks ran, %d were submitted", #starts, 18 * 6)
local most = 0
for _, moment in ipairs(starts) do
  local running = 0
  for _, start in ipairs(starts) do
    if start <= moment and moment < start + work_ms then running = running + 1 end
  end
  most = math.max(most, running)
end
expect(most <= quota, "%d tasks of the team at once, the quota is %d", most, quota)
expect(most >= 3, "the quota leaves slots of the team unused: %d at once", most)

-- Jobs of another team do not wait behind the team that has reached its quota.
for n = 1, 6 do limited[n] = submit(entries[n % 3 + 1], { team = "limited", tasks = 12, work_ms = 300 }) end
expect_complete_answer(submit(entries[1], { team = "free", tasks = 12, work_ms = 50, tag = "free" }).await(), 12, "free")
local pending = 0
for n = 1, 6 do pending = pending + (limited[n].done() and 0 or 1) end
expect(pending > 0, "the limited team had no waiting jobs while the other team's job ran")
