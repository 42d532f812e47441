-- A failure domain is isolated from the others and from the platform while new versions are published.
dofile(LIBRARY .. "/mesh.lua")

local mesh = new_mesh{ base = 3, relays = true }
mesh.options.platform_address_of = function(vm) return mesh:platform_address(vm) end
mesh:start()

local isolated = { mesh:vm("vm-3-1"), mesh:vm("vm-3-2") }
local connected = { mesh:vm("vm-1-1"), mesh:vm("vm-1-2"), mesh:vm("vm-2-1"), mesh:vm("vm-2-2") }
local function set_isolated(active)
  mesh:set_partition(active, mesh:address_prefix(3), mesh:address_prefix(1))
  mesh:set_partition(active, mesh:address_prefix(3), mesh:address_prefix(2))
  mesh:set_partition(active, "", mesh:platform_address(isolated[1]))
end

set_isolated(true)
for version = 2, 4 do
  local document = mesh:make_document()
  document.routes[1].timeout_ms = 2000 + version
  mesh:publish(document)
  print("version " .. version .. " in force on the connected nodes after " ..
        mesh:wait_version(version, 8000, connected) .. " ms")
end

local answered = 0
for i = 1, 50 do
  local response = mesh:call(isolated[1], "clinica", "GET", "/arquivo/cut-" .. i)
  answered = answered + (response.outcome == "answered" and 1 or 0)
  check(response.outcome == "answered" or response.outcome == "not_run" or response.status == 504,
        "unexpected outcome in the isolated domain")
end
print("the isolated domain answered " .. answered .. " of 50 calls")
check(answered >= 45, "the isolated domain answered too few calls")
for _, vm in ipairs(isolated) do
  check(mesh:status(vm).version == 1, "a version crossed the partition")
end

set_isolated(false)
print("after the partition, all nodes run version 4 after " .. mesh:wait_version(4, 8000) .. " ms")
