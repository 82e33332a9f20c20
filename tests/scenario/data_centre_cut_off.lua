-- Guards against starts in a data centre that is cut off as a whole while
-- operators take it out: its entry reaches neither the store nor an agent of
-- another data centre, so it starts nothing and refuses as not run.
local store = start_store()
local entries = {}
for i = 1, 3 do
  entries[i] = start_entry({ id = "e" .. i, data_centre = "dc" .. i, store = store.http })
end
local agents, backends = {}, {}
for i = 1, 3 do
  -- The agent of dc1 reaches its own entry directly, as on a local network,
  -- and the others over their links.
  local rpc = {}
  for n, entry in ipairs(entries) do rpc[n] = entry.rpc end
  if i == 1 then rpc[1] = entries[1].rpc_direct end
  agents[i] = start_agent({ id = "a" .. i, data_centre = "dc" .. i, entries = rpc })
  backends[i] = start_backend({ agent = agents[i] })
end
for _, entry in ipairs(entries) do
  await_ready(entry)
  await_agents(entry, 3)
end
declare_data_centres(entries[2], { "dc1", "dc2", "dc3" })
eventually("dc1 takes work", function()
  return submit(entries[1], { tasks = 6 }).await().status == 200
end)

entries[1].store_link.cut("stall")
entries[1].agent_link.cut("stall")
expect(data_centre_out(entries[2], "dc1").status == 200, "out refused")
local accepted = host.unix_ms()
-- The agent of dc1 still reaches the other entries here, but starts of its own
-- entry must stop by the rule of isolation alone or by the change.
host.run(5000)
local before = #(backends[1].executions().tasks or {})
local refused = 0
for n = 1, 10 do
  local answer = submit(entries[1], { tasks = 2, deadline_ms = 3000 }).await()
  if answer.status ~= 200 then
    expect(answer.json.error.effect == "not_run", "wrong effect: %s", answer.text)
    refused = refused + 1
  end
end
expect(refused > 0, "the isolated entry refused nothing")
expect(#(backends[1].executions().tasks or {}) == before, "a start in dc1 after the bound")
-- The rest of the system works on.
expect_whole(submit(entries[2], { tasks = 6 }).await(), 6)
entries[1].store_link.heal()
entries[1].agent_link.heal()
eventually("the entry of dc1 serves again", function()
  return submit(entries[1], { tasks = 2 }).await().status == 200
end)
expect_no_task_twice(backends)
