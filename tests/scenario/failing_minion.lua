-- Guards against a minion that fails every task at once, looks idle and so
-- draws all work, and against one that never gets work again when it is well.
local cluster = start_cluster({ entries = 2, agents = 3, slots = 4 })
local entries, failing = cluster.entries, cluster.backends[1]
local closing_failures = 5 -- in a row, at each entry
expect(request("POST", failing.http, "/fault", "fail").await().status == 200, "fault refused")

local function run_jobs(count, tag)
  local failed = 0
  for n = 1, count do
    local answer = submit(entries[n % 2 + 1], { work_ms = 30, tag = tag .. n }).await()
    if answer.status == 200 then
      expect_complete_answer(answer, 1, tag .. n)
    else
      expect(answer.json.error.effect == "ran_and_failed", "wrong effect: %s", answer.text)
      failed = failed + 1
    end
  end
  return failed
end

-- Trials after 1, 2, 4 ... s may fail as well; six for each entry take a minute.
local failed = run_jobs(100, "sick")
local most = #entries * (closing_failures + 6)
expect(failed <= most, "%d of 100 jobs failed, at most %d were expected", failed, most)
expect(failed >= 1, "the failing minion got no work at all")

expect(request("POST", failing.http, "/fault", "none").await().status == 200, "fault refused")
local before = failing.executions().total
eventually("the minion works again", function()
  run_jobs(4, "well" .. host.monotonic_ms())
  return failing.executions().total > before + 8
end)
expect(run_jobs(20, "after") == 0, "jobs fail on a minion that is well")
