-- Guards against an accepted change that is not in force at every process
-- within 11 s, or that is reverted. Operators change the configuration while
-- an entry and an agent restart, an agent is frozen, and the store returns
-- errors and loses answers.
local bound_ms = 11000
local cluster = start_cluster({ entries = 3, agents = 3 })
local entries, store = cluster.entries, cluster.store
local highest = {}

-- Fails when an entry shows an older revision than it has shown before.
local function revision_of(entry)
  local status = status_of(entry)
  if not status then return nil end
  local shown = status.revision
  expect(shown >= (highest[entry] or 0), "%s went back from revision %d to %d", entry.name,
    highest[entry] or 0, shown)
  highest[entry] = shown
  return shown, status
end

-- Waits until the three entries and their three agents have `wanted`.
local function await_in_force(wanted)
  eventually("revision " .. wanted .. " in force everywhere", function()
    for _, entry in ipairs(entries) do
      local shown, status = revision_of(entry)
      if not shown or shown < wanted or #status.agents ~= 3 then return false end
      for _, agent in ipairs(status.agents) do
        if not agent.connected or agent.revision < wanted then return false end
      end
    end
    return true
  end, bound_ms)
end

local accepted, refused, revisions = 0, {}, {}
for n = 1, 15 do
  if n % 4 == 1 then store.lose_answers(2) end
  if n % 5 == 2 then store.mode({ error_rate = 0.3 }) end
  if n == 6 then
    entries[3]:kill()
    highest[entries[3]] = nil
    entries[3]:restart()
  end
  if n == 9 then
    cluster.agents[2]:kill()
    cluster.agents[2]:restart()
  end
  local answer = operator(entries[n % 2 + 1], "PUT", "/v1/profiles/p" .. n,
    { urgency = n, reason = "change " .. n })
  if answer.status == 200 then
    local wanted = answer.json.revision
    expect(wanted > accepted, "accepted as revision %d after %d", wanted, accepted)
    accepted = wanted
    revisions["change " .. n] = wanted
    local since = host.monotonic_ms()
    store.up()
    await_in_force(wanted)
    expect(host.monotonic_ms() - since <= bound_ms, "not in force within the bound")
  else
    expect(answer.json and answer.json.error, "a refusal without an error object: %s", answer.text)
    refused["change " .. n] = answer.json.error.code ~= "unknown_outcome"
  end
  store.up()
end
expect(accepted >= 5, "too few changes were accepted: revision %d", accepted)
-- An agent that was frozen during a change continues with the older
-- configuration and has to receive the change.
cluster.agents[3]:freeze()
eventually("every entry shows the frozen agent as not connected", function()
  for _, entry in ipairs(entries) do
    for _, agent in ipairs(status_of(entry).agents) do
      if agent.id == "a3" and agent.connected then return false end
    end
  end
  return true
end)
local change = operator(entries[1], "PUT", "/v1/profiles/frozen", { urgency = 1, reason = "frozen" })
expect(change.status == 200, "change refused: %s", change.text)
cluster.agents[3]:thaw()
await_in_force(change.json.revision)
-- Every accepted change is in the audit trail exactly once, in order, and no
-- refused one is.
local trail = operator(entries[1], "GET", "/v1/audit").json.records
local last = 0
for _, record in ipairs(trail) do
  expect(record.revision == last + 1, "revision %d after %d in the trail", record.revision, last)
  expect(record.operator == "scenario" and record.reason ~= "", "an incomplete record")
  local own = revisions[record.reason]
  expect(not own or own == record.revision, "%s is in the trail with another revision", record.reason)
  expect(not refused[record.reason], "%s was refused and is in the trail", record.reason)
  last = record.revision
end
expect(last >= accepted, "the trail ends at %d, accepted was %d", last, accepted)
