-- A key is withdrawn while its team sends requests over open connections.
dofile(LIBRARY .. "/mesh.lua")

local mesh = new_mesh{ base = 7, rate = 5000, burst = 5000 }
mesh:start()
mesh:start_load("load-clinica", mesh:vm("vm-1-1"), "clinica",
          { "--path", "/arquivo/x", "--count", 2000, "--rate", 400, "--concurrency", 20,
            "--tag-prefix", "clinica-" })
mesh:start_load("load-obra", mesh:vm("vm-1-1"), "obra",
          { "--path", "/arquivo/x", "--count", 2000, "--rate", 400, "--concurrency", 20 })
sleep_ms(1500)
local document = mesh:make_document()
for i, key in ipairs(document.keys) do
  if key.team == "clinica" then
    table.remove(document.keys, i)
  end
end
mesh:publish(document)
print("withdrawal in force after " .. mesh:wait_version(2, 8000) .. " ms")
local function tagged_runs()
  local runs = 0
  for _, vm in ipairs(mesh.vms) do
    for tag, count in pairs(mesh:read_record(vm).runs_by_tag) do
      runs = runs + count
    end
  end
  return runs
end
sleep_ms(100)
local before = tagged_runs()
sleep_ms(1000)
check(tagged_runs() == before, "the withdrawn key still works")
local clinica = wait_load("load-clinica", 30000)
local obra = wait_load("load-obra", 30000)
print("withdrawn: " .. encode(clinica.outcomes) .. ", other team: " .. encode(obra.outcomes))
check((clinica.outcomes["not_run:key_unknown"] or 0) > 500, "withdrawn calls were not refused")
check(obra.outcomes.answered == 2000, "requests of the other team failed")
