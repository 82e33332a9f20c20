-- Measures the processor time, memory and traffic of entries, agents and the
-- store, for docs/CAPACITY.md. Run by tools/measure_capacity.sh.
--
-- CAPACITY_MODE: the measurement, one of the functions in `modes`.
-- CAPACITY_ENTRIES: number of entries.
-- CAPACITY_STEPS: numbers of agents, for the mode `idle`. Each agent has a
-- sample backend.
-- CAPACITY_WINDOW_MS: length of each measurement.
--
-- Processor time is the sum over all threads in the scheduler's statistics.
-- Bytes are the kernel's counts of read and written bytes; they include sockets
-- but not packet headers. Some kernels do not count send(), which Qt uses, so
-- the bytes that an entry sends to the store are also taken from the bytes that
-- the store reads.

local entry_count = tonumber(os.getenv("CAPACITY_ENTRIES") or "1")
local window_ms = tonumber(os.getenv("CAPACITY_WINDOW_MS") or "10000")
local secret = "scenario-secret"
local store, entries, agents, backends = nil, {}, {}, {}

local function read_file(path)
  local file = io.open(path)
  if not file then return "" end
  local text = file:read("a")
  file:close()
  return text
end

local function spawn(name, arguments, environment)
  local id = host.spawn(name, host.jayrill, arguments, environment or {})
  return setmetatable({ id = id, name = name, pid = host.pid(id) },
    { __index = { exit_code = function(self) return host.exit_code(self.id) end } })
end

-- Returns the thread ids of a process. They are read once and kept.
local function threads(self)
  if not self.threads then
    local list = io.popen("ls /proc/" .. self.pid .. "/task")
    self.threads = {}
    for thread in list:lines() do table.insert(self.threads, thread) end
    list:close()
  end
  return self.threads
end

-- Returns the totals of a process: processor time in microseconds, wake-ups and
-- bytes, and its memory in KiB.
local function sample(self)
  local usage = { cpu_us = 0, wakeups = 0, ms = host.monotonic_ms() }
  local root = "/proc/" .. self.pid
  for _, thread in ipairs(threads(self)) do
    local task = root .. "/task/" .. thread
    usage.cpu_us = usage.cpu_us + (tonumber(read_file(task .. "/schedstat"):match("^%d+")) or 0) // 1000
    usage.wakeups = usage.wakeups +
      (tonumber(read_file(task .. "/status"):match("\nvoluntary_ctxt_switches:%s*(%d+)")) or 0)
  end
  local io_text, status = read_file(root .. "/io"), read_file(root .. "/status")
  usage.read = tonumber(io_text:match("rchar: (%d+)"))
  usage.written = tonumber(io_text:match("wchar: (%d+)"))
  usage.rss = tonumber(status:match("VmRSS:%s*(%d+)"))
  usage.anon = tonumber(status:match("RssAnon:%s*(%d+)"))
  return usage
end

local function sample_all(list)
  local all = {}
  for i, self in ipairs(list) do all[i] = sample(self) end
  return all
end

-- Returns means over processes: rates per second, and memory at the end.
local function rates(before, after)
  local mean = { cpu_us = 0, wakeups = 0, read = 0, written = 0, rss = 0, anon = 0 }
  for i = 1, #after do
    local seconds = (after[i].ms - before[i].ms) / 1000
    for _, field in ipairs({ "cpu_us", "wakeups", "read", "written" }) do
      mean[field] = mean[field] + (after[i][field] - before[i][field]) / seconds / #after
    end
    for _, field in ipairs({ "rss", "anon" }) do
      mean[field] = mean[field] + after[i][field] / #after
    end
  end
  return mean
end

local function print_rates(label, mean)
  print(string.format("%s core%%=%.3f wakeups/s=%.1f read_B/s=%.0f written_B/s=%.0f rss_KiB=%.0f anon_KiB=%.0f",
    label, mean.cpu_us / 1e4, mean.wakeups, mean.read, mean.written, mean.rss, mean.anon))
  io.stdout:flush()
end

-- Returns the number of calls that the store has served, by path.
local function store_counters()
  return request("GET", store.http, "/standin/counters").await().json
end

-- Prints the store calls between two results of store_counters.
local function print_store_calls(before, after, seconds, unit)
  local parts = {}
  for path, count in pairs(after) do
    local grown = count - (before[path] or 0)
    if type(count) == "number" and grown > 0 then
      table.insert(parts, string.format("%s=%.3f", path, grown / seconds))
    end
  end
  table.sort(parts)
  print("  store calls " .. unit .. ": " .. table.concat(parts, " "))
end

-- Returns the sum of all series of a metric of a process.
local function metric(self, name)
  local sum = 0
  for line in request("GET", self.http, "/metrics").await().text:gmatch("[^\n]+") do
    local found, value = line:match("^([%w_]+)%S* ([%d%.e%+]+)$")
    if found == name then sum = sum + tonumber(value) end
  end
  return sum
end

local function metric_sum(list, name)
  local sum = 0
  for _, self in ipairs(list) do sum = sum + metric(self, name) end
  return sum
end

local function new_entry(index, http, rpc)
  local self = spawn("entry e" .. index, { "entry", "--id=e" .. index, "--data_centre=dc1",
    "--http_listen=" .. http, "--rpc_listen=" .. rpc, "--store_endpoints=" .. store.http },
    { "JAYRILL_OPERATOR_SECRET=" .. secret })
  self.http, self.rpc = http, rpc
  eventually(self.name .. " is ready", function()
    return request("GET", http, "/readyz").await().status == 200
  end)
  return self
end

local function free_address() return "127.0.0.1:" .. host.free_port() end

local function add_agent(slots)
  local index, http, backend = #agents + 1, free_address(), free_address()
  local dialled = {}
  for i, entry in ipairs(entries) do dialled[i] = entry.rpc end
  local self = spawn("agent a" .. index, { "agent", "--id=a" .. index, "--data_centre=dc1",
    "--worker=w" .. index, "--rack=r1", "--announce_listen=" .. http,
    "--entries=" .. table.concat(dialled, ",") })
  self.http = http
  agents[index] = self
  backends[index] = spawn("backend " .. index, { "sample-backend", "--listen=" .. backend,
    "--agent=" .. http, "--service=sample", "--slots=" .. slots })
  -- Pauses to limit the load of starting processes.
  host.run(60)
end

local function grow_to(count, slots)
  while #agents < count do add_agent(slots) end
  for _, entry in ipairs(entries) do await_agents(entry, count) end
end

local function start_all(count, slots)
  store = start_store()
  store.pid = host.pid(store.id)
  for i = 1, entry_count do entries[i] = new_entry(i, free_address(), free_address()) end
  declare_data_centres(entries[1], { "dc1" })
  grow_to(count, slots)
end

local function measure_idle(label)
  host.run(4000)
  local calls, store_before = store_counters(), sample(store)
  local entries_before, agents_before = sample_all(entries), sample_all(agents)
  host.run(window_ms)
  print_rates(label .. " entry", rates(entries_before, sample_all(entries)))
  print_rates(label .. " agent", rates(agents_before, sample_all(agents)))
  local now = sample(store)
  local seconds = (now.ms - store_before.ms) / 1000
  print(string.format("  store reads %.0f B/s per entry", (now.read - store_before.read) / seconds / #entries))
  print_store_calls(calls, store_counters(), seconds * #entries, "per entry and second")
end

-- Measures one configuration change: the time until every agent has reported it
-- to every entry, and what the processes used meanwhile. The idle rate is not
-- subtracted; measure_idle prints it.
local function measure_change(label, number)
  local entries_before, agents_before = sample_all(entries), sample_all(agents)
  local messages = metric_sum(entries, "jayrill_messages_total")
  local start_ms = host.monotonic_ms()
  local answer = operator(entries[1], "PUT", "/v1/teams/team" .. number,
    { max_running = 100, reason = "capacity" })
  expect(answer.status == 200, "change: %s", answer.text)
  for _, entry in ipairs(entries) do
    eventually("in force", function()
      local status = status_of(entry)
      if status.revision < answer.json.revision then return false end
      for _, agent in ipairs(status.agents) do
        if agent.revision < answer.json.revision then return false end
      end
      return true
    end)
  end
  local elapsed_ms = host.monotonic_ms() - start_ms
  local entry, agent = rates(entries_before, sample_all(entries)), rates(agents_before, sample_all(agents))
  print(string.format("%s change in force after %d ms (wall); entry %.0f us cpu, %.0f B written; agent %.0f us cpu, %.0f B read",
    label, elapsed_ms, entry.cpu_us * elapsed_ms / 1000, entry.written * elapsed_ms / 1000,
    agent.cpu_us * elapsed_ms / 1000, agent.read * elapsed_ms / 1000))
  print(string.format("  messages of all entries meanwhile: %d",
    metric_sum(entries, "jayrill_messages_total") - messages))
end

-- Measures the restart of the first entry until all agents are connected again.
local function measure_restart(label)
  local agents_before = sample_all(agents)
  local old = entries[1]
  host.signal(old.id, "KILL")
  eventually("exit", function() return old:exit_code() end)
  local start_ms = host.monotonic_ms()
  entries[1] = new_entry(1, old.http, old.rpc)
  local ready = host.monotonic_ms() - start_ms
  await_agents(entries[1], #agents)
  local after = sample(entries[1])
  local agent = rates(agents_before, sample_all(agents))
  local all = host.monotonic_ms() - start_ms
  print(string.format("%s restart: ready after %d ms, all agents after %d ms (wall); entry cpu %d us, read %d B, written %d B; agent cpu %.0f us",
    label, ready, all, after.cpu_us, after.read, after.written, agent.cpu_us * all / 1000))
end

-- Measures a run of `jayrill load` against the first entry: usage per second, and
-- per start and job. The idle rate is included. `share` is the share of
-- idempotent jobs; if it is given, the store calls are printed as well.
local function measure_load(label, starts_per_s, tasks, share)
  local entries_before, agents_before = sample_all(entries), sample_all(agents)
  local idle_entries = { table.unpack(entries, 2) }
  local calls, reports = store_counters(), metric_sum(agents, "jayrill_agent_reports_total")
  local messages = metric_sum(entries, "jayrill_messages_total")
  local starts = metric_sum(entries, "jayrill_starts_total")
  local whole = metric_sum(entries, "jayrill_jobs_completed_total")
  local failed = metric_sum(entries, "jayrill_jobs_failed_total")
  local load = spawn("load", { "load", "--entry=" .. entries[1].http,
    "--rate=" .. starts_per_s / tasks, "--duration_ms=" .. window_ms, "--tasks_min=" .. tasks,
    "--tasks_max=" .. tasks, "--work_min_ms=20", "--work_max_ms=20", "--long_share=0",
    "--declared_error=1", "--idempotent_share=" .. (share or 1),
    "--fleet=" .. #agents .. "*8:1.0" })
  eventually("load ends", function() return load:exit_code() end, 120000)
  local seconds = (host.monotonic_ms() - entries_before[1].ms) / 1000
  local entry, agent = rates({ entries_before[1] }, { sample(entries[1]) }), rates(agents_before, sample_all(agents))
  starts = metric_sum(entries, "jayrill_starts_total") - starts
  whole = metric_sum(entries, "jayrill_jobs_completed_total") - whole
  failed = metric_sum(entries, "jayrill_jobs_failed_total") - failed
  print_rates(label .. " entry", entry)
  print_rates(label .. " agent", agent)
  if #entries > 1 then
    print_rates(label .. " other entries", rates({ table.unpack(entries_before, 2) }, sample_all(idle_entries)))
  end
  print(string.format("  starts=%d starts/s=%.0f jobs=%d failed=%d entry_us/start=%.1f agent_us/start=%.1f (idle included) messages/start=%.2f reports/start=%.2f entry_read_B/start=%.0f entry_written_B/start=%.0f",
    starts, starts / seconds, whole, failed, entry.cpu_us * seconds / starts,
    agent.cpu_us * seconds * #agents / starts,
    (metric_sum(entries, "jayrill_messages_total") - messages) / starts,
    (metric_sum(agents, "jayrill_agent_reports_total") - reports) / starts,
    entry.read * seconds / starts, entry.written * seconds / starts))
  if share then print_store_calls(calls, store_counters(), whole, "per job, idle included") end
end

-- Submits jobs of long tasks, most of which have to wait. The declared run time
-- is short, so that the entry does not refuse the jobs because of their deadline.
local function submit_waiting(count, tasks)
  local list = {}
  for i = 1, tasks do
    list[i] = { kind = "wait", declared_ms = 1, payload = { work_ms = 60000, n = i, tag = "" } }
  end
  local body = host.encode_json({ service = "sample", team = "team1", idempotent = true,
    deadline_ms = 600000, tasks = list })
  local handles = {}
  for i = 1, count do handles[i] = request("POST", entries[1].http, "/v1/jobs", body) end
  return handles
end

-- Measures the memory and processor time that waiting tasks take at the entry.
local function measure_waiting(label, count, tasks)
  local before = sample(entries[1])
  local waiting_before = metric(entries[1], "jayrill_waiting_tasks")
  local handles = submit_waiting(count, tasks)
  host.run(6000)
  if handles[1].done() then print("  refused: " .. handles[1].await().text) end
  local after = sample(entries[1])
  local waiting = metric(entries[1], "jayrill_waiting_tasks") - waiting_before
  print(string.format("%s: %d jobs of %d tasks, %d tasks wait: %.0f B per waiting task, %.0f B per job; cpu %.1f us per task; rss %d KiB",
    label, count, tasks, waiting, (after.rss - before.rss) * 1024 / math.max(waiting, 1),
    (after.rss - before.rss) * 1024 / count, (after.cpu_us - before.cpu_us) / (count * tasks), after.rss))
end

local modes = {}

function modes.idle()
  local first = true
  for step in (os.getenv("CAPACITY_STEPS") or "12 24 47 94 188"):gmatch("%d+") do
    local count = tonumber(step)
    if first then start_all(count, 8) else grow_to(count, 8) end
    first = false
    local label = string.format("E=%d N=%d", #entries, count)
    measure_idle(label)
    measure_change(label, count)
  end
  measure_restart(string.format("E=%d N=%d", #entries, #agents))
end

function modes.load()
  start_all(24, 64)
  local label = string.format("E=%d N=24 ", #entries)
  measure_idle(label .. "idle")
  for _, rate in ipairs({ 200, 400, 800, 1600 }) do
    measure_load(label .. "rate=" .. rate .. " tasks=20", rate, 20)
  end
  measure_load(label .. "rate=200 tasks=1", 200, 1)
  measure_load(label .. "rate=800 tasks=400", 800, 400)
end

-- Jobs of one task, so that nearly every start and end changes the status that
-- each agent reports to all entries.
function modes.reports()
  start_all(12, 8)
  local label = string.format("E=%d N=12 ", #entries)
  measure_idle(label .. "idle")
  measure_load(label .. "rate=400 tasks=1", 400, 1)
end

-- A change with a large configuration. Every change pushes all of it, so its size
-- determines the cost.
function modes.teams()
  start_all(24, 8)
  for number = 1, 210 do
    operator(entries[1], "PUT", "/v1/teams/team" .. number, { max_running = 100, reason = "capacity" })
  end
  print("configuration: " .. #operator(entries[1], "GET", "/v1/config").text .. " B")
  host.run(2000)
  measure_change("N=24, 210 teams,", 1)
end

function modes.claims()
  start_all(12, 64)
  measure_load("claims rate=10 tasks=1", 10, 1, 0)
  measure_load("claims rate=100 tasks=1", 100, 1, 0)
  measure_load("claims rate=300 tasks=1", 300, 1, 0)
end

function modes.memory()
  start_all(12, 1)
  submit_waiting(1, 24)
  host.run(1000)
  measure_waiting("many tasks", 20, 1900)
  measure_waiting("many jobs", 300, 1)
end

modes[os.getenv("CAPACITY_MODE") or "idle"]()
