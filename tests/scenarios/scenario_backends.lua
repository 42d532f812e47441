-- Backend servers drain, turn cold without a word, slow down, and their health endpoint lies.
dofile(LIBRARY .. "/mesh.lua")

local mesh = new_mesh{ base = 17, rate = 5000, burst = 5000 }
mesh:start()
local function steer(vm, command)
  return decode(http{ address = vm.backend, path = "/control/" .. command }.body)
end

for i, name in ipairs{ "vm-1-1", "vm-2-2", "vm-3-1" } do
  mesh:load("load-" .. i, mesh:vm(name), "clinica",
            { "--path", "/arquivo/x", "--count", 3000, "--rate", 300, "--concurrency", 50 })
end
sleep_ms(2500)
local cold, draining, slow = mesh:vm("vm-1-1"), mesh:vm("vm-2-1"), mesh:vm("vm-3-1")
steer(cold, "health?says=healthy") -- the lie
local before = steer(cold, "cold?ms=3000")
steer(draining, "drain?on=true")
steer(slow, "slow?factor=8")
sleep_ms(500)
local runs = mesh:record(draining).runs
sleep_ms(2500)
check(mesh:record(draining).runs == runs, "a draining backend server ran new work")
steer(draining, "drain?on=false")
steer(slow, "slow?factor=1")
local after = mesh:record(cold)
print("cold backend server: " .. after.runs - before.runs .. " runs, " ..
      after.overloaded - before.overloaded .. " beyond what it bears, " ..
      after.shed - before.shed .. " refused by it")
for i = 1, 3 do
  local result = load_result("load-" .. i, 60000)
  print("load " .. i .. ": " .. encode(result.outcomes) .. ", p99 " .. result.p99_us .. " us")
  check((result.outcomes.answered or 0) >= 2900, "too many calls failed")
end
