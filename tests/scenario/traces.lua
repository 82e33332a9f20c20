-- Guards against jobs that are lost, refused or run twice while a data centre
-- is taken out and brought back. Replays the traces of two deployments and
-- compares the outcome with the *.expected.json file of each.
local folder = debug.getinfo(1, "S").source:match("^@(.*)/") .. "/../traces/"
local dcs = { "dc1", "dc2", "dc3", "dc4" }
local out_ms, in_ms, bound_ms = 2000, 9000, 5000

for _, name in ipairs({ "rampenwerk", "colonia" }) do
  local cluster = start_cluster({ entries = 3, agents = 4, slots = 8, data_centres = dcs })
  local entries, backends = cluster.entries, cluster.backends
  local jobs = {}
  for line in io.lines(folder .. name .. ".jsonl") do
    local job = host.decode_json(line)
    job.tag = name .. #jobs
    for n, task in ipairs(job.tasks) do
      task.payload = { work_ms = task.work_ms, n = n, tag = job.tag }
      task.work_ms = nil
    end
    jobs[#jobs + 1] = job
  end
  local begin = host.monotonic_ms()
  local function await_offset(ms)
    while host.monotonic_ms() - begin < ms do host.run(5) end
  end
  local accepted, back
  for n, job in ipairs(jobs) do
    if not accepted and job.offset_ms >= out_ms then
      await_offset(out_ms)
      expect(data_centre_out(entries[1], "dc2").status == 200, "out refused")
      accepted = host.unix_ms()
    end
    if not back and job.offset_ms >= in_ms then
      await_offset(in_ms)
      expect(last_start_unix_ms(backends[2]) <= accepted + bound_ms, "a start in dc2, which is out")
      expect(data_centre_in(entries[2], "dc2").status == 200, "in refused")
      back = host.unix_ms()
    end
    await_offset(job.offset_ms)
    job.handle = request("POST", entries[n % 3 + 1].http, "/v1/jobs", {
      service = job.service, team = job.team, idempotent = job.idempotent,
      request_key = not job.idempotent and new_key() or nil,
      deadline_ms = job.deadline_ms, tasks = job.tasks,
    })
  end
  local seen = { whole = 0, executed = 0, keys_run_once = 0, not_whole = 0 }
  for _, job in ipairs(jobs) do
    local answer = job.handle.await()
    if expect_consistent_outcome(backends, answer, #job.tasks, job.tag) then
      seen.whole = seen.whole + 1
    else
      print(answer.text)
      seen.not_whole = seen.not_whole + 1
    end
    if not job.idempotent and count_runs(backends, job.tag) == #job.tasks then
      seen.keys_run_once = seen.keys_run_once + 1
    end
  end
  seen.executed = total_executions(backends)
  expect_no_task_twice(backends)
  expect(last_start_unix_ms(backends[2]) > back, "dc2 got no work after its return")
  local file = io.open(folder .. name .. ".expected.json")
  local wanted = host.decode_json(file:read("a"))
  file:close()
  for field, value in pairs(wanted) do
    expect(seen[field] == value, "%s: %s is %d instead of %d", name, field, seen[field], value)
  end
  -- The processes of this trace must not slow down the next one.
  for _, group in ipairs({ entries, cluster.agents, backends, { cluster.store } }) do
    for _, process in ipairs(group) do process:kill() end
  end
end
