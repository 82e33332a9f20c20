-- Guards against a team that passes its quota by using all entries, and against
-- a quota that stops the team or others.
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

local limited = {}
for n = 1, 18 do
  limited[n] = submit(entries[n % 3 + 1], { team = "limited", tasks = 6, work_ms = 200, tag = "q" .. n })
end
local samples, most = 0, 0
local function all_done()
  for _, job in ipairs(limited) do
    if not job.done() then return false end
  end
  return true
end
eventually("the team's jobs end", function()
  local busy = 0
  for _, agent in ipairs(status_of(entries[1]).agents) do busy = busy + agent.busy + agent.queued end
  samples, most = samples + 1, math.max(most, busy)
  return all_done()
end)
expect(samples > 10, "too few samples: %d", samples)
expect(most <= quota, "%d tasks of the team at once, the quota is %d", most, quota)
expect(most >= 3, "the quota leaves slots of the team unused: %d at once", most)
for n, job in ipairs(limited) do expect_whole(job.await(), 6, "q" .. n) end

-- Another team is not held up by the one that waits for its quota.
for n = 1, 6 do limited[n] = submit(entries[n % 3 + 1], { team = "limited", tasks = 12, work_ms = 300 }) end
expect_whole(submit(entries[1], { team = "free", tasks = 12, work_ms = 50, tag = "free" }).await(), 12, "free")
expect(not all_done(), "the limited team had no backlog to wait behind")
