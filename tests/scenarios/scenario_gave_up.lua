-- Callers give up idempotent requests, by an orderly close or by a reset, while backend servers work
-- on them: the work ends soon.
dofile(LIBRARY .. "/mesh.lua")

local STOP_WORK_MS = 500
local MAX_LATE_SHARE = 0.25

local mesh = new_mesh{ base = 19, rate = 5000, burst = 5000, timeout_ms = 5000,
                       backend = { "--log-runs" } }
mesh:start()
for _, vm in ipairs(mesh.vms) do
  http{ address = vm.backend, path = "/control/hang?on=true" }
end

local entries = { close = mesh:vm("vm-1-1"), reset = mesh:vm("vm-2-1") }
local names = { "close", "reset" }
for _, name in ipairs(names) do
  mesh:start_clients(name, { entries[name] }, "obra",
    { "--seed", SEED, "--clients", 8, "--timeout-ms", 5000, "--tag-prefix", name .. "-",
      "--post-share", 0, "--long-share", 0, "--short-timeout-share", 0, "--give-up-share", 1,
      "--reset-share", name == "reset" and 1 or 0, "--max-requests", 1 })
end
for _, name in ipairs(names) do
  check(wait_exit(name, 10000) == 0, "the clients did not end")
end
sleep_ms(6000) -- the timeout of the routes has passed

local run_ends = {}
for _, vm in ipairs(mesh.vms) do
  for _, run in ipairs(mesh:read_runs(vm)) do
    run_ends[run.tag] = math.max(run_ends[run.tag] or 0, run.end_ms or now_ms())
  end
end
local failed = {}
for _, name in ipairs(names) do
  local ran, late, latest = 0, 0, 0
  for _, request in ipairs(read_ends(name)) do
    if request.kind:find("gave_up") and run_ends[request.tag] then
      local after = run_ends[request.tag] - request.end_ms
      ran, latest = ran + 1, math.max(latest, after)
      late = late + (after > STOP_WORK_MS and 1 or 0)
    end
  end
  local line = name .. ": of " .. ran .. " given up, " .. late .. " ran on for over " ..
               STOP_WORK_MS .. " ms, " .. latest .. " ms at most"
  print(line)
  check(ran > 0, "no request was at work when its caller gave up by " .. name)
  if late > MAX_LATE_SHARE * ran then
    table.insert(failed, line)
  end
end
check(#failed == 0, table.concat(failed, "; "))
