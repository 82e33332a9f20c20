-- Guards against garbage, unfinished requests, deeply nested JSON and wrong
-- credentials that crash a process or are accepted, and against a minion with
-- invalid answers that harms its agent.
local cluster = start_cluster({ entries = 1, agents = 1 })
local entry = cluster.entries[1]
local garbage = string.rep("\0\255garbage\r\n", 1000)
local raw_connections = {}
for _, target in ipairs({ entry.rpc_direct, entry.http, cluster.agents[1].http }) do
  for n = 1, 10 do
    table.insert(raw_connections, host.open_raw(target, garbage))
    table.insert(raw_connections, host.open_raw(target, "POST /v1/jobs HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n"))
    table.insert(raw_connections, host.open_raw(target, "GET / HTTP/1.1\r\nX: " .. string.rep("a", 100000)))
    table.insert(raw_connections, host.open_raw(target, string.char(255, 255, 255, 127) .. string.rep("\1", 64)))
    table.insert(raw_connections, host.open_raw(target, ""))
  end
end
host.run(500)
local nested = string.rep("[", 100000)
local answer = request("POST", entry.http, "/v1/jobs", nested).await()
expect(answer.status == 400 or answer.status == 0, "nested: %d", answer.status)
for _, headers in ipairs({ {}, { Authorization = "Bearer wrong" }, { Authorization = "Basic x" } }) do
  headers["Jayrill-Operator"] = "mallory"
  local refused = request("POST", entry.http, "/v1/data-centres/dc1/out", { reason = "x" }, headers).await()
  expect(refused.status == 401, "status %d instead of 401 for a wrong secret", refused.status)
end
for _, body in ipairs({ "", "{}", '{"service":"quotes","port":0,"slots":-1}', nested }) do
  local refused = request("POST", cluster.agents[1].http, "/v1/announce", body).await()
  expect(refused.status == 400 or refused.status == 0 or refused.status == 413,
    "announce: %d", refused.status)
end
expect(entry:exit_code() == nil and cluster.agents[1]:exit_code() == nil, "the entry or the agent has exited")
expect_complete_answer(submit(entry, { tasks = 8, tag = "still" }).await(), 8, "still")

-- A minion that sends an invalid answer or none, or drops the connection, fails
-- its own jobs; the agent keeps running.
for _, fault in ipairs({ "not_json", "not_http", "endless", "huge", "truncate", "drop", "reset", "fail" }) do
  local name = fault:gsub("_", "-")
  local agent = start_agent({ id = "x-" .. name, entries = cluster.rpc })
  local backend = start_backend({ agent = agent, service = "svc-" .. name, faults = fault })
  eventually("the entry lists the minion", function()
    for _, seen in ipairs(status_of(entry).agents) do
      if seen.id == "x-" .. name and seen.service ~= "" then return true end
    end
  end)
  local failed = submit(entry, { service = "svc-" .. name, deadline_ms = 4000 }).await()
  expect(failed.status ~= 200 and failed.json.error.effect ~= "not_run", "%s: %s", fault, failed.text)
  expect(total_executions({ backend }) == 1, "%s: the task did not run once", fault)
  expect(agent:exit_code() == nil, "the agent has exited")
end
