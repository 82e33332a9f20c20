-- Guards against an outage of the store during which idempotent jobs fail, a
-- change is accepted, or an accepted change is lost. A data centre is taken out
-- before the outage, and an entry is restarted during it.
local cluster = start_cluster({ entries = 3, agents = 3, slots = 4 })
local entries, store = cluster.entries, cluster.store
expect(data_centre_out(entries[1], "dc1").status == 200, "out refused")
eventually("the change is in force at every entry", function()
  local wanted = status_of(entries[1]).revision
  for _, entry in ipairs(entries) do
    if status_of(entry).revision ~= wanted then return false end
  end
  return true
end)
host.run(500)
local starts_before = #(cluster.backends[1].executions().tasks or {})
store.down()
for n = 1, 20 do
  expect_complete_answer(submit(entries[n % 3 + 1], { tasks = 4, tag = "s" .. n }).await(), 4, "s" .. n)
  host.run(250)
end
local change = data_centre_in(entries[2], "dc1")
expect(change.status ~= 200 and change.json.error, "a change was accepted without the store: %s", change.text)

-- A restarted entry gets its configuration from the agents and obeys it.
entries[2]:kill()
entries[2]:restart()
await_ready(entries[2])
await_agents(entries[2], 3)
for n = 1, 10 do
  expect_complete_answer(submit(entries[2], { tasks = 4, tag = "r" .. n }).await(), 4, "r" .. n)
end
expect(#(cluster.backends[1].executions().tasks or {}) == starts_before,
  "a start in dc1, which is out")
store.up()
eventually("changes are accepted again", function()
  return data_centre_in(entries[3], "dc1").status == 200
end)
expect_no_task_twice(cluster.backends)
