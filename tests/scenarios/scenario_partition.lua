-- A failure domain is cut off from the others and from the platform while versions change.
dofile(LIBRARY .. "/mesh.lua")

local mesh = new_mesh{ base = 3, relays = true }
mesh.options.platform_of = function(vm) return mesh:platform_for(vm) end
mesh:start()

local cut_off = { mesh:vm("vm-3-1"), mesh:vm("vm-3-2") }
local others = { mesh:vm("vm-1-1"), mesh:vm("vm-1-2"), mesh:vm("vm-2-1"), mesh:vm("vm-2-2") }
local function cut(value)
  mesh:set_cut(value, mesh:prefix(3), mesh:prefix(1))
  mesh:set_cut(value, mesh:prefix(3), mesh:prefix(2))
  mesh:set_cut(value, "", mesh:platform_for(cut_off[1]))
end

cut(true)
for version = 2, 4 do
  local document = mesh:make_document()
  document.routes[1].timeout_ms = 2000 + version
  mesh:publish(document)
  print("version " .. version .. " in force on the connected nodes after " ..
        mesh:wait_version(version, 8000, others) .. " ms")
end

local answered = 0
for i = 1, 50 do
  local response = mesh:call(cut_off[1], "clinica", "GET", "/arquivo/cut-" .. i)
  answered = answered + (response.outcome == "answered" and 1 or 0)
  check(response.outcome == "answered" or response.outcome == "not_run" or response.status == 504,
        "unexpected outcome in the cut-off domain")
end
print("the cut-off domain answered " .. answered .. " of 50 calls")
check(answered >= 45, "the cut-off domain does not serve what it can")
for _, vm in ipairs(cut_off) do
  check(mesh:status(vm).version == 1, "the cut does not hold")
end

cut(false)
print("after the cut, all nodes run version 4 after " .. mesh:wait_version(4, 8000) .. " ms")
