-- The mesh keeps serving, and a node restarts, while the platform is down, slow or serves an invalid
-- version.
dofile(LIBRARY .. "/mesh.lua")

local mesh = new_mesh{ base = 10 }
mesh:start()
local function check_serving(platform_state)
  for i = 1, 20 do
    local response = mesh:call(mesh.vms[i % #mesh.vms + 1], "clinica", "GET", "/arquivo/" .. i)
    check(response.outcome == "answered", "not answered while the platform is " .. platform_state)
  end
end

mesh:control("mode?mode=down")
check_serving("down")
local restarted = mesh:vm("vm-2-1")
signal(restarted.name, "KILL")
wait_exit(restarted.name, 5000)
mesh:start_node(restarted)
print("a node restarted while the platform is down serves after " .. mesh:wait_serving(15000) .. " ms")
check_serving("down")
sleep_ms(6000)
mesh:control("mode?mode=up")
mesh:publish(mesh:make_document())
print("after the outage version 2 is in force after " .. mesh:wait_version(2, 8000) .. " ms")

mesh:control("mode?mode=slow")
mesh:publish(mesh:make_document())
print("on a slow platform version 3 is in force after " .. mesh:wait_version(3, 8000) .. " ms")
check_serving("slow")

mesh:control("mode?mode=up")
mesh:publish(mesh:make_document(), 5)
mesh:wait_version(5, 8000)
local response = mesh:control("document?break=routes", encode((function()
  local document = mesh:make_document()
  document.version = 6
  return document
end)()))
check(response.status == 200, "the fake platform did not publish the broken version")
sleep_ms(2000)
for _, vm in ipairs(mesh.vms) do
  check(mesh:status(vm).version == 5, "a broken version was applied")
end
check_serving("serving a broken version")
mesh:publish(mesh:make_document(), 7)
print("after a broken version, version 7 is in force after " .. mesh:wait_version(7, 8000) .. " ms")
