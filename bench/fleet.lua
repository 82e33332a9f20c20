-- The fleet that the measurements of the scheduling policy use: 3 entries and 11
-- minions of 8 slots in 4 data centres. The slowest minion takes three times as
-- long for a task as the fastest.
local slowness = { 1, 1, 1.2, 1.4, 1.6, 1.8, 2, 2.2, 2.5, 2.8, 3 }

-- Starts the fleet with the given placement strategy. Returns the cluster, the
-- HTTP addresses of the entries, and the value of --fleet for `jayrill load`.
return function(strategy)
  local cluster = start_cluster({
    entries = 3, agents = #slowness, slots = 8, slowness = slowness, strategy = strategy,
    record = false, data_centres = { "dc1", "dc2", "dc3", "dc4" },
  })
  local addresses, fleet = {}, {}
  for i, entry in ipairs(cluster.entries) do addresses[i] = entry.http end
  for i, value in ipairs(slowness) do fleet[i] = "1*8:" .. value end
  return cluster, table.concat(addresses, ","), table.concat(fleet, ",")
end
