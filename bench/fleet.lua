-- The fleet of the policy measurements: 11 minions of 8 slots whose speeds
-- differ threefold, behind 3 entries, in 4 data centres.
local slowness = { 1, 1, 1.2, 1.4, 1.6, 1.8, 2, 2.2, 2.5, 2.8, 3 }

-- Starts it with the placement strategy. Returns the cluster, the HTTP
-- addresses of the entries and the fleet as `jayrill load` takes it.
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
