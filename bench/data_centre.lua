-- Measures how well the remaining minions are used while a data centre is out of
-- use: 3 entries, 11 minions in 4 data centres, and a load of 110 %, which is more
-- than the remaining slots can serve. Samples the busy slots of the minions
-- inside and outside the data centre dc1; 100 % means that all slots are busy.
-- STRATEGY: the placement strategy.
local strategy = os.getenv("STRATEGY") or "jayrill"
local cluster, addresses, fleet = dofile("bench/fleet.lua")(strategy)
local load = host.spawn("load", host.jayrill, {
  "load", "--entry=" .. addresses, "--services=quotes",
  "--fleet=" .. fleet, "--load_percent=110", "--duration_ms=32000",
  "--deadline_ms=300000", "--timeout_ms=300000", "--json",
}, {})

-- Returns the busy slots and all slots of the minions outside dc1, then of those
-- in dc1, as the second entry sees them.
local function sample()
  local rest, rest_slots, out, out_slots = 0, 0, 0, 0
  for _, agent in ipairs(status_of(cluster.entries[2]).agents) do
    if agent.data_centre == "dc1" then
      out, out_slots = out + agent.busy, out_slots + agent.slots
    else
      rest, rest_slots = rest + agent.busy, rest_slots + agent.slots
    end
  end
  return rest, rest_slots, out, out_slots
end

-- Prints the mean share of busy slots over the next `span_ms` milliseconds.
local function phase(name, span_ms)
  local rest, rest_slots, out, out_slots, samples = 0, 0, 0, 0, 0
  local stop = host.monotonic_ms() + span_ms
  while host.monotonic_ms() < stop do
    local rest_now, rest_slots_now, out_now, out_slots_now = sample()
    rest, rest_slots = rest + rest_now, rest_slots + rest_slots_now
    out, out_slots = out + out_now, out_slots + out_slots_now
    samples = samples + 1
    host.run(50)
  end
  print(string.format("PHASE %s %s: busy slots of the rest %.1f %%, of dc1 %.1f %%, %d samples",
    strategy, name, 100 * rest / rest_slots, 100 * out / out_slots, samples))
end

host.run(10000)
phase("before", 3000)
expect(data_centre_out(cluster.entries[1], "dc1").status == 200, "out refused")
phase("leaving (first second)", 1000)
phase("out", 6000)
expect(data_centre_in(cluster.entries[1], "dc1").status == 200, "in refused")
phase("returning (slow start)", 5000)
phase("back", 3000)
eventually("the load ends", function() return host.exit_code(load) ~= nil end, 600000)
local report = host.decode_json(host.output(load):match("{.*}"))
print(string.format("LOAD %s: %d of %d jobs whole, wasted messages %.3f %%, messages per task %.2f",
  strategy, report.jobs_whole, report.jobs_sent, 100 * report.wasted_share, report.messages_per_task))
