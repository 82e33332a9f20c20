-- Runs `jayrill load` against the fleet of fleet.lua (3 entries, 11 minions of 8
-- slots) and prints its report. Environment variables:
-- STRATEGY: placement strategy. LOAD: load in percent of the slots. DURATION_S:
-- length of the measured run. SEED: seed of the load. BURST: number of tasks of a
-- burst in the middle of the run. DEADLINE: deadline of the jobs in milliseconds.
-- TEAMS: value of --teams.
local function setting(name, default) return os.getenv(name) or default end
local strategy = setting("STRATEGY", "jayrill")
local load_percent = setting("LOAD", "60")
local seconds = tonumber(setting("DURATION_S", "20"))
local _, addresses, fleet = dofile("bench/fleet.lua")(strategy)

local function run_load(percent, duration_ms, seed, extra)
  local arguments = {
    "load", "--entry=" .. addresses, "--services=quotes",
    "--fleet=" .. fleet, "--load_percent=" .. percent,
    "--duration_ms=" .. duration_ms, "--seed=" .. seed, "--json",
    "--deadline_ms=" .. setting("DEADLINE", "120000"), "--timeout_ms=150000",
    "--teams=" .. setting("TEAMS", "a:1,b:1,c:1,d:1"),
  }
  for _, argument in ipairs(extra or {}) do table.insert(arguments, argument) end
  local id = host.spawn("load", host.jayrill, arguments, {})
  eventually("the load ends", function() return host.exit_code(id) ~= nil end, 600000)
  local output = host.output(id)
  local report = host.decode_json(output:match("%b{}%s*$") or output:match("{.*}") or "")
  expect(report, "no report: %s", output)
  return report, output
end

-- A run before the measured one, so that slow start is over and the entries have
-- learned the speeds of the minions.
run_load(40, 8000, 99)
local extra = {}
if os.getenv("BURST") then
  extra = { "--burst_tasks=" .. os.getenv("BURST"), "--burst_at_ms=" .. seconds * 500 }
end
local report, output = run_load(load_percent, seconds * 1000, setting("SEED", "1"), extra)
print("REPORT " .. strategy .. " " .. load_percent .. " " .. output:gsub("\n", " "))
