-- Guards against a minion that fails every task immediately, so looks idle and
-- is chosen for all tasks, and against a minion that gets no work after it has
-- recovered.
local cluster = start_cluster({ entries = 2, agents = 3, slots = 4 })
local entries, failing = cluster.entries, cluster.backends[1]
local closing_failures = 5 -- consecutive, at each entry; then it sends only trials
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

-- Each entry tries the minion again after 1, 2, 4 ... s, and these trials may
-- fail as well; six of them take a minute.
local failed = run_jobs(100, "sick")
local most = #entries * (closing_failures + 6)
expect(failed <= most, "%d of 100 jobs failed, at most %d were expected", failed, most)
expect(failed >= 1, "the failing minion got no work at all")

expect(request("POST", failing.http, "/fault", "none").await().status == 200, "fault refused")
local before = failing.executions().total
eventually("the recovered minion gets work again", function()
  run_jobs(4, "well" .. host.monotonic_ms())
  return failing.executions().total > before + 8
end)
expect(run_jobs(20, "after") == 0, "jobs fail after the minion has recovered")
