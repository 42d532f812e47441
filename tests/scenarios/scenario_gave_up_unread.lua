-- Callers give up, by an orderly close or by a reset, before the node reads their requests: a node
-- that runs late does not start them.
dofile(LIBRARY .. "/mesh.lua")

local mesh = new_mesh{ base = 22, rate = 5000, burst = 5000, timeout_ms = 4000,
                       backend = { "--service-us", "5000", "--log-runs" } }
mesh:start()

local entry = mesh:vm("vm-1-1")
signal(entry.name, "STOP")
local names = { "close", "reset" }
for _, name in ipairs(names) do
  mesh:start_clients(name, { entry }, "obra",
    { "--seed", SEED, "--clients", 20, "--timeout-ms", 4000, "--tag-prefix", name .. "-",
      "--long-share", 0, "--short-timeout-share", 0, "--give-up-share", 1,
      "--reset-share", name == "reset" and 1 or 0, "--max-requests", 1 })
end
local ends = {}
for _, name in ipairs(names) do
  check(wait_exit(name, 10000) == 0, "the clients did not end")
  for _, request in ipairs(read_ends(name)) do
    check(request.kind == "gave_up_" .. name, request.tag .. " ended as " .. request.kind)
    ends[request.tag] = request
  end
end
sleep_ms(500)
signal(entry.name, "CONT")
sleep_ms(1500)

local started, left = { close = 0, reset = 0 }, { close = 0, reset = 0 }
for tag in pairs(ends) do
  local name = tag:match("^%a+")
  left[name] = left[name] + 1
end
for _, vm in ipairs(mesh.vms) do
  for _, run in ipairs(mesh:read_runs(vm)) do
    local name = run.tag:match("^%a+")
    started[name] = started[name] + 1
  end
end
for _, name in ipairs(names) do
  print(name .. ": " .. started[name] .. " of " .. left[name] .. " started after callers left")
end
check(started.close + started.reset == 0, "requests started after their callers had left: " ..
      started.close .. " (close), " .. started.reset .. " (reset)")
