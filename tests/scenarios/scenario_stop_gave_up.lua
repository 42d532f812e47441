-- Callers that gave up, by an orderly close or by a reset, leave no work: a later planned stop ends
-- idle, before the drain timeout.
dofile(LIBRARY .. "/mesh.lua")

local DRAIN_TIMEOUT_MS = 8000

local mesh = new_mesh{ base = 16, rate = 5000, burst = 5000, drain_timeout_ms = DRAIN_TIMEOUT_MS }
mesh:start()
for _, vm in ipairs(mesh.vms) do
  http{ address = vm.backend, path = "/control/hang?on=true" }
end

local cases = {
  { name = "close", vm = mesh:vm("vm-1-1"), reset_share = 0 },
  { name = "reset", vm = mesh:vm("vm-2-1"), reset_share = 1 },
  { name = "none", vm = mesh:vm("vm-3-1"), reset_share = 0, give_up_share = 0 },
}
for _, case in ipairs(cases) do
  mesh:start_clients("clients-" .. case.name, { case.vm }, "obra",
    { "--seed", SEED, "--clients", 4, "--long-share", 0, "--short-timeout-share", 0,
      "--give-up-share", case.give_up_share or 1, "--reset-share", case.reset_share,
      "--max-requests", 1 })
end
for _, case in ipairs(cases) do
  check(wait_exit("clients-" .. case.name, 10000) == 0, "the clients did not end")
  print(case.name .. ": " .. encode(count_kinds(read_ends("clients-" .. case.name))))
end
sleep_ms(3000) -- the timeout of the routes has passed

local stopped_at = now_ms()
for _, case in ipairs(cases) do
  signal(case.vm.name, "TERM")
end
local failed = {}
for _, case in ipairs(cases) do
  local code = wait_exit(case.vm.name, DRAIN_TIMEOUT_MS + 5000)
  local line = case.name .. ": exit code " .. code .. " within " .. now_ms() - stopped_at .. " ms"
  print(line)
  if code ~= 0 then
    table.insert(failed, line)
  end
end
check(#failed == 0, "not idle after callers gave up: " .. table.concat(failed, "; "))
