-- A failure domain is taken out of service and back into service under load; it must get no requests
-- in between.
dofile(LIBRARY .. "/mesh.lua")

local mesh = new_mesh{ base = 6, rate = 5000, burst = 5000 }
mesh:start()
local function runs_in_domain(domain)
  local runs = 0
  for _, vm in ipairs(mesh.vms) do
    if vm.domain == domain then
      runs = runs + mesh:read_record(vm).runs
    end
  end
  return runs
end

for i, name in ipairs{ "vm-1-1", "vm-2-2", "vm-3-1" } do
  mesh:start_load("load-" .. i, mesh:vm(name), "clinica",
            { "--path", "/arquivo/x", "--count", 4000, "--rate", 400, "--concurrency", 50 })
end
sleep_ms(1000)
local document = mesh:make_document()
document.failure_domains[3].in_service = false
mesh:publish(document)
print("out of service in force after " .. mesh:wait_version(2, 8000) .. " ms")
sleep_ms(200)
local before = runs_in_domain("zone-3")
sleep_ms(2000)
check(runs_in_domain("zone-3") == before,
      "the failure domain got new requests after it was taken out of service")

document.failure_domains[3].in_service = true
mesh:publish(document)
mesh:wait_version(3, 8000)
wait_until("zone-3 gets requests again", 8000,
           function() return runs_in_domain("zone-3") > before end)
for i = 1, 3 do
  local result = wait_load("load-" .. i, 60000)
  print("load " .. i .. ": " .. encode(result.outcomes) .. ", p99 " .. result.p99_us .. " us")
  check((result.outcomes.answered or 0) >= 3980, "too many calls failed")
end
