-- Measures the path of a task from the client to the minion and back, with 3
-- entries, 11 agents and 11 sample backends of 8 slots: the time that the path
-- adds to a task, 1,000 jobs of 1 to 100 tasks, and the memory and processor time
-- of idle and loaded processes.
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

-- Returns the largest resident memory in KiB, and the sums of processor time and
-- traffic, of the processes.
local function usage(processes)
  local resident, cpu, io = 0, 0, 0
  for _, process in ipairs(processes) do
    local process_resident, process_cpu, process_io = process:usage()
    resident = math.max(resident, process_resident)
    cpu, io = cpu + process_cpu, io + process_io
  end
  return resident, cpu, io
end

-- Runs `work` and prints the mean usage per entry and per agent meanwhile. Returns
-- the result of `work`.
local function measure(name, work)
  local before, start_ms = {}, host.monotonic_ms()
  local groups = { entry = cluster.entries, agent = cluster.agents }
  for role, group in pairs(groups) do before[role] = { usage(group) } end
  local report = work()
  local elapsed_ms = host.monotonic_ms() - start_ms
  for role, group in pairs(groups) do
    local resident, cpu, io = usage(group)
    print(string.format("USAGE %s %s: largest %.1f MB, %.2f %% of a core, %.1f KB/s, each", name, role,
      resident / 1024, 100 * (cpu - before[role][2]) / elapsed_ms / #group,
      (io - before[role][3]) / elapsed_ms / #group))
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
