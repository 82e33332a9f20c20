-- Guards against bursts whose jobs are lost, answered in part or run twice,
-- against free slots that an entry leaves unused, and against waiting tasks
-- that still run after their callers have disconnected.
local cluster = start_cluster({ entries = 3, agents = 3, slots = 4 })
local entries, backends = cluster.entries, cluster.backends
local slots = 3 * 4

-- Three bursts, each of three times as many tasks as slots.
for round = 1, 3 do
  local jobs = {}
  for n = 1, 9 do
    jobs[n] = submit(entries[n % 3 + 1], { tasks = slots / 3, work_ms = 50, tag = "b" .. round .. n })
  end
  for n, job in ipairs(jobs) do expect_complete_answer(job.await(), slots / 3, "b" .. round .. n) end
  expect(total_executions(backends) == round * 3 * slots, "executions differ from tasks")
end

-- Tasks that run far longer than expected still get every free slot. An entry
-- that waited for the minions it expects to be faster would use only some of
-- them. The wait comes first because the slow start of a minion takes 5 s from
-- its first connection.
host.run(6000)
local long = submit(entries[1], { tasks = slots, work_ms = 4000, kind = "long", tag = "long" })
eventually("all slots work at the same time", function()
  local busy = 0
  for _, agent in ipairs(status_of(entries[1]).agents) do busy = busy + agent.busy end
  return busy == slots or long.done()
end)
expect(not long.done(), "free slots were left unused")
expect_complete_answer(long.await(), slots, "long")

-- 300 callers disconnect; only tasks that an agent has already started may
-- still run.
local before = total_executions(backends)
local callers = 300
local jobs = {}
for n = 1, callers do
  jobs[n] = submit(entries[n % 3 + 1], { tasks = 4, work_ms = 150, tag = "gone" })
end
eventually("the entries hold the jobs", function()
  local held = 0
  for _, entry in ipairs(entries) do held = held + status_of(entry).jobs end
  return held > callers / 2
end)
for _, job in ipairs(jobs) do job.abort() end
eventually("the entries have dropped the jobs", function()
  for _, entry in ipairs(entries) do
    local status = status_of(entry)
    if status.jobs > 0 or status.waiting_tasks > 0 or status.outstanding > 0 then return false end
  end
  return true
end)
local run = total_executions(backends) - before
expect(run < callers * 4 / 2, "%d of %d tasks ran for callers that had left", run, callers * 4)
