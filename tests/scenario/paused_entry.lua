-- Guards against an entry that was paused until its lease expired and then
-- starts tasks under its old configuration, or runs a non-idempotent job that
-- another entry has decided. Meanwhile the store loses answers to the writes of
-- changes and claims.
local cluster = start_cluster({ entries = 3, agents = 3, slots = 4 })
local store, entries, backends = cluster.store, cluster.entries, cluster.backends
local paused = entries[1]
local requests = {}
for n = 1, 12 do
  local fields = { key = new_key(), tag = "p" .. n, work_ms = 30 }
  requests[n] = { fields = fields, handles = { submit(paused, fields) } }
  host.run(4)
end
paused:freeze()
-- These wait in the sockets of the paused entry until it is thawed.
for n = 13, 20 do
  local fields = { key = new_key(), tag = "p" .. n, work_ms = 30 }
  requests[n] = { fields = fields, handles = { submit(paused, fields) } }
end
for n, item in ipairs(requests) do
  store.lose_answers(2)
  for i = 2, 3 do item.handles[i] = submit(entries[i], item.fields) end
end
store.lose_answers(2)
local change = data_centre_out(entries[2], "dc1")
expect(change.status == 200, "out refused: %s", change.text)
local accepted = host.unix_ms()
eventually("the lease of the paused entry expires", function()
  return #status_of(entries[2]).entries == 2
end)
store.up()
paused:thaw()
for n = 1, 10 do submit(paused, { tasks = 4, tag = "thawed" }) end
await_revision(entries, change.json.revision)
eventually("the paused entry is listed again", function()
  return #status_of(entries[2]).entries == 3
end)
for _, item in ipairs(requests) do
  local whole = 0
  for _, handle in ipairs(item.handles) do
    local answer = handle.await()
    if answer.status == 200 then
      expect_complete_answer(answer, 1, item.fields.tag)
      whole = whole + 1
    elseif answer.status ~= 0 then
      expect(answer.json.error.effect, "a failure without an effect: %s", answer.text)
    end
  end
  local runs = count_runs(backends, item.fields.tag)
  expect(runs <= 1, "%s ran %d times", item.fields.tag, runs)
  expect(whole == 0 or runs == 1, "%s was answered without a run", item.fields.tag)
end
eventually("a job at the thawed entry succeeds", function()
  return submit(paused, { tasks = 4 }).await().status == 200
end)
expect(last_start_unix_ms(backends[1]) <= accepted + 5000, "a start in dc1, which is out")
expect_no_task_twice(backends)
