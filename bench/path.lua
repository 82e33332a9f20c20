-- The whole path with 3 entries, 11 agents and 11 sample backends of 8 slots:
-- 1,000 jobs of 1 to 100 tasks, the time that the path adds to a task, and the
-- memory and processor time of idle and loaded processes.
local cluster = start_cluster({ entries = 3, agents = 11, slots = 8, record = false,
  data_centres = { "dc1", "dc2", "dc3", "dc4" } })
local addresses = {}
for i, entry in ipairs(cluster.entries) do addresses[i] = entry.http end

local function run_load(arguments)
  local all = { "load", "--entry=" .. table.concat(addresses, ","), "--services=quotes",
    "--fleet=11*8:1.0", "--long_share=0", "--declared_error=1", "--json" }
  for _, argument in ipairs(arguments) do table.insert(all, argument) end
  local id = host.spawn("load", host.jayrill, all, {})
  eventually("the load ends", function() return host.exit_code(id) ~= nil end, 600000)
  return host.decode_json(host.output(id):match("{.*}"))
end

local function usage(processes)
  local resident, cpu, io = 0, 0, 0
  for _, item in ipairs(processes) do
    local a, b, c = item:usage()
    resident, cpu, io = math.max(resident, a), cpu + b, io + c
  end
  return resident, cpu, io
end

-- Runs `work` and prints what the processes used meanwhile, each.
local function measure(name, work)
  local before, since = {}, host.monotonic_ms()
  local groups = { entry = cluster.entries, agent = cluster.agents }
  for role, group in pairs(groups) do before[role] = { usage(group) } end
  local report = work()
  local span = host.monotonic_ms() - since
  for role, group in pairs(groups) do
    local resident, cpu, io = usage(group)
    print(string.format("USAGE %s %s: largest %.1f MB, %.2f %% of a core, %.1f KB/s, each", name, role,
      resident / 1024, 100 * (cpu - before[role][2]) / span / #group,
      (io - before[role][3]) / span / #group))
  end
  return report
end

host.run(3000)
measure("idle", function() host.run(10000) end)
local single = measure("single", function()
  return run_load({ "--tasks_min=1", "--tasks_max=1", "--work_min_ms=50", "--work_max_ms=50",
    "--rate=50", "--duration_ms=20000" })
end)
print(string.format("PATH one task of 50 ms: response median %.2f ms, 99th %.2f ms, %d jobs",
  single.response_ms.median, single.response_ms.p99, single.jobs_whole))
local many = measure("loaded", function()
  return run_load({ "--tasks_min=1", "--tasks_max=100", "--work_min_ms=10", "--work_max_ms=40",
    "--rate=50", "--duration_ms=20000" })
end)
print(string.format("PATH jobs of 1 to 100 tasks: %d of %d whole, %d starts, %.2f messages per task, "
  .. "wasted %.4f, over ideal median %.2f, 99th %.2f", many.jobs_whole, many.jobs_sent, many.starts,
  many.messages_per_task, many.wasted_share, many.response_over_ideal.median, many.response_over_ideal.p99))
