-- Guards against a non-idempotent job that runs twice. The same request is sent
-- to every entry at once, again after the job has ended, with answers of the
-- store lost, with the store slow or down, and with its entry killed.
local cluster = start_cluster({ entries = 3, agents = 3, slots = 4 })
local store, entries, backends = cluster.store, cluster.entries, cluster.backends

local function submit_everywhere(tag, key, fields)
  fields = fields or {}
  fields.key, fields.tag, fields.tasks = key, tag, 1
  local handles = {}
  for round = 1, 2 do
    for _, entry in ipairs(entries) do
      if entry:exit_code() == nil then table.insert(handles, submit(entry, fields)) end
    end
  end
  local answers = {}
  for i, handle in ipairs(handles) do answers[i] = handle.await() end
  return answers
end

local function check(tag, answers)
  local runs = count_runs(backends, tag)
  expect(runs <= 1, "%s ran %d times", tag, runs)
  local whole = 0
  for _, answer in ipairs(answers) do
    if answer.status == 200 then
      whole = whole + 1
      expect(answer.json.results[1].echo.tag == tag, "answer of another job: %s", answer.text)
      expect(runs == 1, "answered, but never ran")
    elseif answer.status ~= 0 then
      local effect = answer.json.error.effect
      expect(effect, "a failure without an effect: %s", answer.text)
    end
  end
  return runs, whole
end

-- To every entry at once, with the store healthy.
local key = new_key()
local answers = submit_everywhere("once", key)
local runs, whole = check("once", answers)
expect(runs == 1 and whole >= 1, "healthy: %d runs, %d whole answers", runs, whole)

-- Again after the job has ended: no second run; every request gets the results
-- of the first.
answers = submit_everywhere("once", key)
runs, whole = check("once", answers)
expect(runs == 1 and whole == 6, "resubmission: %d runs, %d whole answers of 6", runs, whole)

-- A request that reuses the key for a different job is refused.
local reuse = submit(entries[1], { key = key, tag = "other", tasks = 2 }).await()
expect(reuse.status ~= 200 and reuse.json.error.code == "key_reused", "reuse: %s", reuse.text)

-- The store writes, but its answers are lost.
for n = 1, 5 do
  store.lose_answers(3)
  local tag = "lost" .. n
  runs, whole = check(tag, submit_everywhere(tag, new_key()))
  -- The entry reads its claim back, so the job runs although the answer to the
  -- write was lost.
  expect(runs == 1 and whole >= 1, "lost answers: %d runs, %d whole", runs, whole)
end
store.up()

-- The store is slow.
store.slow(200)
runs, whole = check("slow", submit_everywhere("slow", new_key()))
expect(runs == 1 and whole >= 1, "slow store: %d runs, %d whole", runs, whole)
store.up()

-- The store is down: the job is refused with the effect not_run, while
-- idempotent jobs go on.
store.down()
host.run(300)
local refused = submit(entries[1], { key = new_key(), tag = "down" }).await()
expect(refused.status == 503 and refused.json.error.effect == "not_run", "store down: %s", refused.text)
expect(count_runs(backends, "down") == 0, "refused, but ran")
expect_complete_answer(submit(entries[2], { tasks = 4 }).await(), 4)
store.up()
eventually("claims work again", function()
  return submit(entries[1], { key = new_key(), tag = "up" }).await().status == 200
end)

-- The entry is killed while the job runs; the other entries must not run it
-- again.
for n = 1, 3 do
  local tag, kill_key = "kill" .. n, new_key()
  local handle = submit(entries[1], { key = kill_key, tag = tag, work_ms = 300 })
  host.run(40 * n)
  entries[1]:kill()
  local first = handle.await()
  expect(first.status == 0, "an answer from a killed entry: %s", first.text)
  local again = submit_everywhere(tag, kill_key)
  host.run(400)
  check(tag, again)
  entries[1]:restart()
  await_ready(entries[1])
  for _, entry in ipairs(entries) do await_agents(entry, 3) end
  check(tag, submit_everywhere(tag, kill_key))
end
expect_no_task_twice(backends)
