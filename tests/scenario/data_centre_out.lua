-- Guards against starts in a data centre later than 5 s after the change that
-- takes it out was accepted: with the store up, with one entry cut off from the
-- store, with an agent frozen during the change, and with concurrent changes by
-- several operators. Jobs in the other data centres go on.
local bound_ms = 5000
local cluster = start_cluster({ entries = 3, agents = 3, slots = 4 })
local entries, agents, backends = cluster.entries, cluster.agents, cluster.backends

-- Submits jobs to all entries for `span_ms` and waits for their answers.
-- \returns how many jobs succeeded, and how many were submitted.
local function keep_busy(span_ms)
  local stop = host.monotonic_ms() + span_ms
  local jobs = {}
  while host.monotonic_ms() < stop do
    for _, entry in ipairs(entries) do
      table.insert(jobs, submit(entry, { tasks = 4, work_ms = 20 }))
    end
    host.run(50)
  end
  local whole = 0
  for _, job in ipairs(jobs) do
    local answer = job.await()
    if answer.status == 200 then whole = whole + 1 end
  end
  return whole, #jobs
end

local function expect_no_late_start(backend, since)
  local latest = last_start_unix_ms(backend)
  expect(latest <= since + bound_ms, "a start %d ms after the change was accepted", latest - since)
end

-- Taken out with the store up.
expect(data_centre_out(entries[1], "dc1").status == 200, "out refused")
local accepted = host.unix_ms()
local whole, all = keep_busy(bound_ms + 1500)
expect(whole == all, "%d of %d jobs succeeded while dc1 was out", whole, all)
expect_no_late_start(backends[1], accepted)

-- Brought back: it gets work.
expect(data_centre_in(entries[2], "dc1").status == 200, "in refused")
eventually("dc1 gets work again", function()
  keep_busy(300)
  return last_start_unix_ms(backends[1]) > accepted + bound_ms
end)

-- One entry is cut off from the store: the agents pass the change to it.
entries[3].store_link.cut("stall")
host.run(500)
local change = data_centre_out(entries[1], "dc2")
expect(change.status == 200, "out refused")
accepted = host.unix_ms()
whole, all = keep_busy(bound_ms + 1500)
expect(status_of(entries[3]).revision >= change.json.revision,
  "the agents have not passed the change to the entry that is cut off from the store")
expect(whole > 0, "no job succeeded while dc2 was out")
expect_no_late_start(backends[2], accepted)
entries[3].store_link.heal()
expect(data_centre_in(entries[1], "dc2").status == 200, "in refused")

-- An agent that was frozen during the change starts nothing when it is thawed.
agents[3]:freeze()
local frozen = {}
for _, entry in ipairs(entries) do
  for n = 1, 6 do frozen[#frozen + 1] = submit(entry, { tasks = 4, work_ms = 20, deadline_ms = 6000 }) end
end
host.run(200)
expect(data_centre_out(entries[1], "dc3").status == 200, "out refused")
accepted = host.unix_ms()
host.run(bound_ms)
local starts_before = #(backends[3].executions().tasks or {})
agents[3]:thaw()
keep_busy(2000)
expect(#(backends[3].executions().tasks or {}) == starts_before, "the thawed agent started tasks")
for _, job in ipairs(frozen) do job.await() end
expect(data_centre_in(entries[1], "dc3").status == 200, "in refused")

-- Concurrent changes: each is accepted or refused as a conflict, and all
-- entries end with the same revision.
local races = {}
for n = 1, 12 do
  local entry = entries[n % 3 + 1]
  races[n] = begin_operator_request(entry, "POST", "/v1/data-centres/dc1/" .. (n % 2 == 0 and "out" or "in"),
    { reason = "race" }, "operator" .. n)
end
local accepted_count = 0
for _, race in ipairs(races) do
  local answer = race.await()
  expect(answer.status == 200 or answer.status == 409, "neither accepted nor a conflict: %s", answer.text)
  if answer.status == 200 then accepted_count = accepted_count + 1 end
end
expect(accepted_count > 0, "none of the concurrent changes was accepted")
eventually("all entries show the same revision", function()
  local first = status_of(entries[1]).revision
  for _, entry in ipairs(entries) do
    if status_of(entry).revision ~= first then return false end
  end
  return true
end)
expect_no_task_twice(backends)
