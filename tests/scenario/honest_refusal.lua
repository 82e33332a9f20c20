-- Guards against a refusal with the effect not_run for a job that has run or
-- runs later, and against refusals without a message or remedy. Submits jobs
-- that limits, placement and deadline rules refuse, malformed requests, and a
-- job during a planned stop.
local cluster = start_cluster({ entries = 1, agents = 2, slots = 2 })
local entry, backends = cluster.entries[1], cluster.backends

local function expect_refused(answer, code)
  expect(answer.status >= 400, "not refused: %s", answer.text)
  local failure = answer.json.error
  expect(failure.effect == "not_run", "wrong effect: %s", answer.text)
  expect(failure.message ~= "" and failure.remedy ~= "", "no message or remedy: %s", answer.text)
  expect(not code or failure.code == code, "code %s instead of %s", failure.code, code)
end

local function change(method, path, body)
  body.reason = "scenario"
  local answer = operator(entry, method, path, body)
  expect(answer.status == 200, "change refused: %s", answer.text)
end

expect_refused(submit(entry, { service = "unknown" }).await(), "no_minion")
change("PUT", "/v1/profiles/small", { urgency = 50, limits = { max_tasks = 2 } })
change("PUT", "/v1/services/quotes", { profile = "small" })
expect_refused(submit(entry, { tasks = 3 }).await())
change("PUT", "/v1/profiles/far", { urgency = 50, placement = { min_accelerators = 8 } })
change("PUT", "/v1/services/quotes", { profile = "far" })
expect_refused(submit(entry, {}).await())
change("PUT", "/v1/profiles/plain", { urgency = 50 })
change("PUT", "/v1/services/quotes", { profile = "plain" })
expect_complete_answer(submit(entry, { tasks = 4, tag = "learn", work_ms = 400 }).await(), 4, "learn")
-- 40 tasks of 400 ms on 4 slots need 4 s; the deadline allows 500 ms.
expect_refused(submit(entry, { tasks = 40, work_ms = 400, deadline_ms = 500 }).await(),
  "deadline_unreachable")
-- When the deadline passes while a task runs, the job is not refused: the task
-- may have run.
local late = submit(entry, { kind = "slow", work_ms = 3000, deadline_ms = 1000 }).await()
expect(late.status ~= 200 and late.json.error.effect == "may_have_run", "late: %s", late.text)
local executed = total_executions(backends)

for _, body in ipairs({ "", "{", "[]", '{"service":"quotes"}',
  '{"service":"quotes","tasks":[]}', '{"service":7,"tasks":[{"kind":"a"}]}',
  '{"service":"quotes","tasks":[{"kind":"a","payload":{}}],"extra":1}' }) do
  local answer = request("POST", entry.http, "/v1/jobs", body).await()
  expect(answer.status == 400, "status %d for %s", answer.status, body)
  expect(answer.json.error.effect == "not_run", "wrong effect: %s", answer.text)
end
local key_missing = request("POST", entry.http, "/v1/jobs",
  { service = "quotes", idempotent = false, deadline_ms = 1000, tasks = { { kind = "a", payload = { n = 1 } } } }).await()
expect_refused(key_missing)
local old_key = (host.unix_ms() - 3600000) .. "-old"
expect_refused(submit(entry, { key = old_key }).await())

entry:term()
host.run(200)
late = submit(entry, {}).await()
expect(late.status == 0 or late.json.error.effect == "not_run", "during the stop: %s", late.text)
expect(entry:await_exit() == 0, "exit code")
host.run(1000)
expect(total_executions(backends) == executed, "a refused job has run")
