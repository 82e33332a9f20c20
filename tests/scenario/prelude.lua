-- Functions for scenario scripts, built on those that scenario_runner provides
-- in the table `host`.

local secret = "scenario-secret"
local poll_ms = 20

-- Fails the scenario with `message` when `condition` is false.
function expect(condition, message, ...)
  if not condition then
    error(string.format(message or "expectation failed", ...), 2)
  end
end

-- Handles events until `condition()` returns a true value, and returns that
-- value. The limit only ends a test that hangs; it doesn't check how fast the
-- system is.
function eventually(what, condition, limit_ms)
  local deadline = host.monotonic_ms() + (limit_ms or 60000)
  while true do
    local value = condition()
    if value then return value end
    if host.monotonic_ms() > deadline then
      error("did not happen in time: " .. what, 2)
    end
    host.run(poll_ms)
  end
end

-- Fails when `condition()` becomes false within `span_ms`.
function throughout(what, span_ms, condition)
  local deadline = host.monotonic_ms() + span_ms
  while host.monotonic_ms() < deadline do
    if not condition() then error("did not hold: " .. what, 2) end
    host.run(poll_ms)
  end
end

-- Begins an HTTP request to `address`; returns a handle with await(), done()
-- and abort(). A table as `body` is sent as JSON.
function request(method, address, path, body, headers)
  local text = body and (type(body) == "string" and body or host.encode_json(body)) or ""
  local id = host.request(method, "http://" .. address .. path, headers or {}, text)
  local handle = {}
  function handle.done() return host.answer(id) ~= nil end
  function handle.abort() host.abort(id) end
  function handle.await(limit_ms)
    eventually(method .. " " .. path, handle.done, limit_ms)
    local status, answer = host.answer(id)
    return { status = status, text = answer, json = host.decode_json(answer) }
  end
  return handle
end

local process = {}
process.__index = process
function process:kill() host.signal(self.id, "KILL"); self:await_exit() end
function process:term() host.signal(self.id, "TERM") end
function process:freeze() host.signal(self.id, "STOP") end
function process:thaw() host.signal(self.id, "CONT") end
function process:exit_code() return host.exit_code(self.id) end
function process:output() return host.output(self.id) end
function process:usage() return host.usage(self.id) end
function process:await_exit(limit_ms)
  return eventually(self.name .. " exits", function()
    local code = host.exit_code(self.id)
    return code and { code = code }
  end, limit_ms).code
end
-- Starts the process, or starts it again, with the same arguments.
function process:restart()
  self.id = host.spawn(self.name, self.program, self.arguments, self.environment)
  if self.ready then self.ready(self) end
  return self
end

local function start(name, program, arguments, environment, fields, ready)
  local self = fields or {}
  self.name, self.program = name, program
  self.arguments, self.environment = arguments, environment or {}
  self.ready = ready
  setmetatable(self, process)
  return self:restart()
end

local function address() return "127.0.0.1:" .. host.free_port() end

local function await_status(self, path, wanted)
  return eventually(self.name .. " answers " .. path, function()
    if self:exit_code() then
      error(self.name .. " exited with " .. self:exit_code())
    end
    return request("GET", self.http, path).await(30000).status == wanted
  end)
end

-- Starts a stand-in for the platform's key-value service. Its functions set the
-- faults of the stand-in; up() ends all of them.
function start_store()
  local self = start("store", host.store_standin, { "--port=" .. host.free_port() }, {}, {},
    function(self)
      self.http = eventually("store listens", function()
        return self:output():match("listening on ([%d%.:]+)")
      end)
    end)
  function self.mode(fields)
    expect(request("POST", self.http, "/standin/mode", fields).await().status == 200, "store mode")
  end
  function self.down() self.mode({ down = true }) end
  function self.up() self.mode({ down = false, delay_ms = 0, lose_answers = 0, error_rate = 0 }) end
  function self.slow(ms) self.mode({ delay_ms = ms }) end
  function self.lose_answers(count) self.mode({ lose_answers = count }) end
  return self
end

-- Adds a TCP forwarder to `target` that scripts can cut and heal.
local function new_link(target)
  local id, port = host.add_forwarder(target)
  local link = { address = "127.0.0.1:" .. port }
  -- "stall" holds bytes back; "close" closes connections and refuses new ones.
  function link.cut(mode) host.set_forwarder(id, mode or "stall") end
  function link.heal() host.set_forwarder(id, "pass") end
  return link
end

-- Starts an entry. Fields: id, data_centre, store (address), strategy,
-- repeat_after_ms. Agents
-- reach it through `agent_link`, and it reaches the store through `store_link`.
function start_entry(fields)
  local http, rpc = address(), address()
  local agent_link, store_link = new_link(rpc), new_link(fields.store)
  local arguments = {
    "entry", "--id=" .. fields.id, "--data_centre=" .. (fields.data_centre or "dc1"),
    "--http_listen=" .. http, "--rpc_listen=" .. rpc,
    "--rpc_advertise=" .. agent_link.address,
    "--store_endpoints=" .. store_link.address,
    "--placement_strategy=" .. (fields.strategy or "jayrill"),
    "--repeat_after_ms=" .. (fields.repeat_after_ms or 0),
  }
  return start("entry " .. fields.id, host.jayrill, arguments,
    { "JAYRILL_OPERATOR_SECRET=" .. secret },
    { http = http, rpc = agent_link.address, rpc_direct = rpc, entry_id = fields.id,
      agent_link = agent_link, store_link = store_link },
    not fields.no_wait and function(self) await_status(self, "/healthz", 200) end or nil)
end

-- Waits until the entry takes jobs.
function await_ready(entry) await_status(entry, "/readyz", 200) end

-- Starts an agent. Fields: id, data_centre, entries (list of RPC addresses),
-- repeat_after_ms.
function start_agent(fields)
  local http = address()
  return start("agent " .. fields.id, host.jayrill, {
    "agent", "--id=" .. fields.id, "--data_centre=" .. (fields.data_centre or "dc1"),
    "--worker=" .. (fields.worker or ("worker-" .. fields.id)),
    "--rack=" .. (fields.rack or "rack1"),
    "--announce_listen=" .. http, "--entries=" .. table.concat(fields.entries, ","),
    "--repeat_after_ms=" .. (fields.repeat_after_ms or 0),
  }, {}, { http = http, agent_id = fields.id })
end

-- Starts a sample backend, the minion of an agent. Fields: agent (handle),
-- service, slots, slowness, faults, record (false turns its record off).
function start_backend(fields)
  local http = address()
  local arguments = {
    "sample-backend", "--listen=" .. http, "--agent=" .. fields.agent.http,
    "--service=" .. (fields.service or "quotes"), "--slots=" .. (fields.slots or 8),
    "--slowness=" .. (fields.slowness or 1),
  }
  if fields.record == false then table.insert(arguments, "--record=false") end
  if fields.faults then table.insert(arguments, "--faults=" .. fields.faults) end
  local self = start("backend of " .. fields.agent.agent_id, host.jayrill, arguments, {}, { http = http },
    function(self) await_status(self, "/executions", 200) end)
  -- The executions that the backend recorded: the total and a list of {job,
  -- task, count, first_start_unix_ms}.
  function self.executions()
    return request("GET", self.http, "/executions").await().json
  end
  return self
end

-- Starts a store, entries and agents with backends. Fields: entries (number),
-- agents (number), slots, data_centres (list; entries and agents in turn),
-- repeat_after_ms.
function start_cluster(fields)
  local dcs = fields.data_centres or { "dc1", "dc2", "dc3" }
  local cluster = { store = start_store(), entries = {}, agents = {}, backends = {} }
  for i = 1, fields.entries or 3 do
    cluster.entries[i] = start_entry({
      id = "e" .. i, data_centre = dcs[(i - 1) % #dcs + 1], store = cluster.store.http,
      strategy = fields.strategy, repeat_after_ms = fields.repeat_after_ms,
    })
  end
  cluster.rpc = {}
  for i, entry in ipairs(cluster.entries) do cluster.rpc[i] = entry.rpc end
  for i = 1, fields.agents or 3 do
    cluster.agents[i] = start_agent({
      id = "a" .. i, data_centre = dcs[(i - 1) % #dcs + 1], entries = cluster.rpc,
      repeat_after_ms = fields.repeat_after_ms,
    })
    cluster.backends[i] = start_backend({
      agent = cluster.agents[i], slots = fields.slots, slowness = (fields.slowness or {})[i],
      record = fields.record,
    })
  end
  for _, entry in ipairs(cluster.entries) do
    await_ready(entry)
    await_agents(entry, fields.agents or 3)
  end
  declare_data_centres(cluster.entries[1], dcs)
  return cluster
end

-- The status that `entry` shows to operators.
function status_of(entry)
  return operator(entry, "GET", "/v1/status").json
end

-- Waits until `entry` sees `count` connected agents with an announced minion.
function await_agents(entry, count)
  eventually(entry.name .. " sees " .. count .. " agents", function()
    local status = status_of(entry)
    local seen = 0
    for _, agent in ipairs(status and status.agents or {}) do
      if agent.connected and agent.service ~= "" then seen = seen + 1 end
    end
    return seen == count
  end)
end

-- Sends a request with the operators' secret and waits for its answer.
function operator(entry, method, path, body, name)
  return begin_operator_request(entry, method, path, body, name).await()
end

function begin_operator_request(entry, method, path, body, name)
  return request(method, entry.http, path, body, {
    Authorization = "Bearer " .. secret, ["Jayrill-Operator"] = name or "scenario",
  })
end

-- Declares the data centres `names` in the configuration.
function declare_data_centres(entry, names)
  for _, name in ipairs(names) do
    local answer = operator(entry, "PUT", "/v1/data-centres/" .. name, { reason = "scenario" })
    expect(answer.status == 200, "declare %s: %s", name, answer.text)
  end
end

function data_centre_out(entry, name)
  return operator(entry, "POST", "/v1/data-centres/" .. name .. "/out", { reason = "scenario" })
end

function data_centre_in(entry, name)
  return operator(entry, "POST", "/v1/data-centres/" .. name .. "/in", { reason = "scenario" })
end

-- Returns a new request key that starts with the current time.
local key_count = 0
function new_key()
  key_count = key_count + 1
  return host.unix_ms() .. "-scenario" .. key_count
end

-- Submits a job. Fields: tasks (number), work_ms, key (non-idempotent when
-- set), deadline_ms, service, team.
function submit(entry, fields)
  local tasks = {}
  for i = 1, fields.tasks or 1 do
    tasks[i] = {
      kind = fields.kind or "check",
      payload = { work_ms = fields.work_ms or 20, n = i, tag = fields.tag or "" },
    }
  end
  return request("POST", entry.http, "/v1/jobs", {
    service = fields.service or "quotes", team = fields.team or "team1",
    idempotent = fields.key == nil, request_key = fields.key,
    deadline_ms = fields.deadline_ms or 30000, tasks = tasks,
  })
end

-- Fails unless `answer` is complete: the result of every task, in task order.
function expect_complete_answer(answer, tasks, tag)
  expect(answer.status == 200, "job failed: %d %s", answer.status, answer.text)
  expect(#answer.json.results == tasks, "%d results instead of %d", #answer.json.results, tasks)
  for i, result in ipairs(answer.json.results) do
    expect(result.echo.n == i and result.echo.tag == (tag or ""),
      "result %d belongs to another task: %s", i, answer.text)
  end
end

-- Sum of the executions of all backends; fails when a task ran twice.
function total_executions(backends)
  local total = 0
  for _, backend in ipairs(backends) do
    for _, record in ipairs(backend.executions().tasks or {}) do
      expect(record.count == 1, "task %s/%d ran %d times", record.job, record.task, record.count)
      total = total + record.count
    end
  end
  return total
end

-- Fails when one task of a job ran on two backends or twice on one.
function expect_no_task_twice(backends)
  local seen = {}
  for _, backend in ipairs(backends) do
    for _, record in ipairs(backend.executions().tasks or {}) do
      local name = record.job .. "/" .. record.task
      expect(record.count == 1 and not seen[name], "task %s ran more than once", name)
      seen[name] = true
    end
  end
end

-- How often tasks with `tag` ran on all backends.
function count_runs(backends, tag)
  local count = 0
  for _, backend in ipairs(backends) do
    for _, record in ipairs(backend.executions().tasks or {}) do
      if record.tag == tag then count = count + record.count end
    end
  end
  return count
end

-- Time of the last start on `backend`; 0 when nothing has started.
function last_start_unix_ms(backend)
  local latest = 0
  for _, record in ipairs(backend.executions().tasks or {}) do
    latest = math.max(latest, record.first_start_unix_ms)
  end
  return latest
end

-- Waits until every entry shows `revision` or a newer one.
function await_revision(entries, revision, limit_ms)
  eventually("revision " .. revision .. " at every entry", function()
    for _, entry in ipairs(entries) do
      local status = status_of(entry)
      if not status or status.revision < revision then return false end
    end
    return true
  end, limit_ms)
end

-- Fails unless `answer` is complete or states an effect. A job with the effect
-- not_run must not have run; a run after this check is not seen.
-- \returns true when the answer is complete.
function expect_consistent_outcome(backends, answer, tasks, tag)
  if answer.status == 200 then
    expect_complete_answer(answer, tasks, tag)
    return true
  end
  local effect = answer.json and answer.json.error.effect
  expect(effect, "a failure without an effect: %s", answer.text)
  expect(effect ~= "not_run" or count_runs(backends, tag) == 0,
    "a job with the effect not_run has run: %s", answer.text)
  return false
end
