-- Guards against an accepted change that is lost when the store goes down right
-- after it. The accepting entry passes the change to the agents and is killed;
-- the other entries, cut off from the store, get the change from the agents,
-- and the killed entry gets it when it restarts during the outage.
local cluster = start_cluster({ entries = 3, agents = 3, slots = 4 })
local entries, backends = cluster.entries, cluster.backends
for _, entry in ipairs({ entries[2], entries[3] }) do entry.store_link.cut("stall") end
local change = data_centre_out(entries[1], "dc1")
cluster.store.down()
expect(change.status == 200, "out refused: %s", change.text)
local accepted = host.unix_ms()
-- The entry is killed only now: a change that no agent has received is known to
-- the accepting entry and the store only, and neither would be reachable.
eventually("the agents have the change", function()
  for _, agent in ipairs(status_of(entries[1]).agents) do
    if agent.revision < change.json.revision then return false end
  end
  return true
end)
entries[1]:kill()
local jobs = {}
for n = 1, 60 do
  jobs[n] = { tag = "o" .. n, handle = submit(entries[n % 2 + 2], { tasks = 4, tag = "o" .. n }) }
  host.run(100)
end
for _, job in ipairs(jobs) do
  expect_consistent_outcome(backends, job.handle.await(), 4, job.tag)
end
await_revision({ entries[2], entries[3] }, change.json.revision, 11000)
entries[1]:restart()
await_ready(entries[1])
await_revision(entries, change.json.revision)
for n = 1, 12 do
  expect_complete_answer(submit(entries[n % 3 + 1], { tasks = 4, tag = "n" .. n }).await(), 4, "n" .. n)
end
expect(last_start_unix_ms(backends[1]) <= accepted + 5000, "a start in dc1, which is out")
expect_no_task_twice(backends)
