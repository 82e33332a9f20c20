-- Guards against starts in a data centre that is isolated from the others while
-- operators take it out. Its entry reaches neither the store nor an agent of
-- another data centre and so can't learn of the change; it has to start nothing
-- and to refuse jobs with the effect not_run.
local store = start_store()
local entries = {}
for i = 1, 3 do
  entries[i] = start_entry({ id = "e" .. i, data_centre = "dc" .. i, store = store.http })
end
local agents, backends = {}, {}
for i = 1, 3 do
  -- Agents and entries on the same side of the cut are connected directly. The
  -- connections between dc1 and the others use the links that the script cuts.
  local rpc = {}
  for n, entry in ipairs(entries) do
    rpc[n] = (i == 1) == (n == 1) and entry.rpc_direct or entry.rpc
  end
  agents[i] = start_agent({ id = "a" .. i, data_centre = "dc" .. i, entries = rpc })
  backends[i] = start_backend({ agent = agents[i] })
end
for _, entry in ipairs(entries) do
  await_ready(entry)
  await_agents(entry, 3)
end
declare_data_centres(entries[2], { "dc1", "dc2", "dc3" })
eventually("a job at the entry of dc1 succeeds", function()
  return submit(entries[1], { tasks = 6 }).await().status == 200
end)

entries[1].store_link.cut("stall")
for _, entry in ipairs(entries) do entry.agent_link.cut("stall") end
expect(data_centre_out(entries[2], "dc1").status == 200, "out refused")
-- Neither the change nor an agent that has it reaches the entry of dc1, so its
-- starts stop only because the entry notices that it is isolated.
host.run(5000)
local before = #(backends[1].executions().tasks or {})
for n = 1, 10 do
  local answer = submit(entries[1], { tasks = 2, deadline_ms = 3000 }).await()
  expect(answer.status ~= 200, "a job at the entry of dc1 succeeded after the bound")
  expect(answer.json.error.effect == "not_run", "wrong effect: %s", answer.text)
end
expect(#(backends[1].executions().tasks or {}) == before, "a start in dc1 after the bound")
-- The other data centres go on.
expect_complete_answer(submit(entries[2], { tasks = 6 }).await(), 6)
entries[1].store_link.heal()
for _, entry in ipairs(entries) do entry.agent_link.heal() end
eventually("the entry of dc1 serves again", function()
  return submit(entries[1], { tasks = 2 }).await().status == 200
end)
expect_no_task_twice(backends)
