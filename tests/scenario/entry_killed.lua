-- Guards against a non-idempotent job that runs a second time after its entry
-- was killed: before the claim is written, between claim and start, or between
-- start and answer. After the kill, each request is sent to the other entries
-- and, after the restart, to the same entry.
local cluster = start_cluster({ entries = 3, agents = 3, slots = 8 })
local entries, backends = cluster.entries, cluster.backends
local batch = 8
local answered, unknown = 0, 0
for round, delay in ipairs({ 1, 15, 30, 45, 60, 80, 100, 150 }) do
  -- In every other round the store is slow, so that some kills come while a
  -- claim is being written.
  cluster.store.slow(round % 2 * 25)
  local killed_entry = entries[round % 3 + 1]
  local requests = {}
  for n = 1, batch do
    local fields = { key = new_key(), tag = "k" .. round .. "-" .. n, work_ms = 40 }
    requests[n] = { fields = fields, first = submit(killed_entry, fields) }
    host.run(delay // batch)
  end
  killed_entry:kill()
  for n, item in ipairs(requests) do
    item.first.await()
    for i = 1, 2 do
      item[i] = submit(entries[(round + i) % 3 + 1], item.fields)
    end
  end
  for _, item in ipairs(requests) do
    local whole = 0
    for i = 1, 2 do
      local answer = item[i].await()
      if expect_consistent_outcome({}, answer, 1, item.fields.tag) then whole = whole + 1 end
    end
    answered = answered + whole
    if whole == 0 then unknown = unknown + 1 end
    item.whole = whole
  end
  cluster.store.up()
  killed_entry:restart()
  await_ready(killed_entry)
  await_agents(killed_entry, 3)
  for _, item in ipairs(requests) do
    item.last = submit(killed_entry, item.fields)
  end
  for _, item in ipairs(requests) do
    item.last.await()
    local runs = count_runs(backends, item.fields.tag)
    expect(runs <= 1, "%s ran %d times", item.fields.tag, runs)
    expect(item.whole == 0 or runs == 1, "%s was answered without a run", item.fields.tag)
  end
end
expect(answered > 0 and unknown > 0, "%d complete answers, %d requests without one: the kills must lead to both",
  answered, unknown)
expect_no_task_twice(backends)
