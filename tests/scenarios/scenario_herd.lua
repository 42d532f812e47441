-- All nodes are killed and restart at the same time, twice, without exceeding the rate of the platform.
-- Then one node restarts while the platform serves a stale version.
dofile(LIBRARY .. "/mesh.lua")

local mesh = new_mesh{ base = 5, domains = 3, vms = 8 }
mesh:start()
mesh:publish(mesh:make_document())
mesh:wait_version(2, 8000)
for round = 1, 2 do
  local before = decode(mesh:control("count").body)
  for _, vm in ipairs(mesh.vms) do
    signal(vm.name, "KILL")
    wait_exit(vm.name, 5000)
  end
  for _, vm in ipairs(mesh.vms) do
    mesh:start_node(vm)
  end
  local elapsed_ms = mesh:wait_serving(20000)
  local count = decode(mesh:control("count").body)
  print(string.format("round %d: 24 nodes serve after %d ms; %d platform calls, peak %d a second",
                      round, elapsed_ms, count.calls - before.calls, count.peak_per_s))
  check(count.refused == 0, "the platform refused calls")
  mesh:wait_version(2, 8000)
end

-- The platform serves the version before the running one; the restarted node must not apply it.
mesh:control("mode?mode=stale")
local document = mesh:make_document()
mesh:control("mode?mode=up")
mesh:publish(document)
mesh:wait_version(3, 8000)
mesh:publish(document, 2)
local vm = mesh:vm("vm-1-1")
signal(vm.name, "KILL")
wait_exit(vm.name, 5000)
mesh:start_node(vm)
local highest = 0
wait_until("the restarted node runs version 3", 15000, function()
  local status = mesh:status(vm)
  if status then
    check(status.version >= highest, "the restarted node went back to an older version")
    check(status.state ~= "serving" or status.version == 3, "it serves an older version")
    highest = status.version
  end
  return status and status.state == "serving"
end)
