-- Backend servers drain, become cold without reporting it, or slow down, while one health endpoint
-- reports the wrong state.
dofile(LIBRARY .. "/mesh.lua")

local mesh = new_mesh{ base = 17, rate = 5000, burst = 5000 }
mesh:start()
local function control(vm, command)
  return decode(http{ address = vm.backend, path = "/control/" .. command }.body)
end

for i, name in ipairs{ "vm-1-1", "vm-2-2", "vm-3-1" } do
  mesh:start_load("load-" .. i, mesh:vm(name), "clinica",
            { "--path", "/arquivo/x", "--count", 3000, "--rate", 300, "--concurrency", 50 })
end
sleep_ms(2500)
local cold, draining, slow = mesh:vm("vm-1-1"), mesh:vm("vm-2-1"), mesh:vm("vm-3-1")
control(cold, "health?says=healthy") -- the wrong state
local before = control(cold, "cold?ms=3000")
control(draining, "drain?on=true")
control(slow, "slow?factor=8")
sleep_ms(500)
local runs = mesh:read_record(draining).runs
sleep_ms(2500)
check(mesh:read_record(draining).runs == runs, "a draining backend server ran new requests")
control(draining, "drain?on=false")
control(slow, "slow?factor=1")
local after = mesh:read_record(cold)
print("cold backend server: " .. after.runs - before.runs .. " runs, " ..
      after.overloaded - before.overloaded .. " over capacity, " ..
      after.shed - before.shed .. " shed")
for i = 1, 3 do
  local result = wait_load("load-" .. i, 60000)
  print("load " .. i .. ": " .. encode(result.outcomes) .. ", p99 " .. result.p99_us .. " us")
  check((result.outcomes.answered or 0) >= 2900, "too many calls failed")
end
