-- A calm mesh replaces no connection between its nodes. Guards against confirmations that do not match
-- the messages once both have been encoded: each link with little traffic was replaced as silent.
dofile(LIBRARY .. "/mesh.lua")

local mesh = new_mesh{ base = 25, domains = 3, vms = 2 }
mesh:start()
for round = 1, 10 do
  for _, vm in ipairs(mesh.vms) do
    local response = mesh:call(vm, "clinica", "GET", "/arquivo/1")
    check(response.outcome == "answered", "not answered on a calm mesh: " .. tostring(response.outcome))
  end
  sleep_ms(700)
end
for _, vm in ipairs(mesh.vms) do
  check(mesh:counter(vm, "links_replaced") == 0, vm.name .. " replaced connections on a calm mesh")
end
