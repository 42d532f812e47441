-- A version that is published when a silent platform returns is in force at all nodes within the bound.
-- Nodes had a read in flight that the platform never received, and waited for it for 3.7 s.
dofile(LIBRARY .. "/mesh.lua")

local APPLY_BOUND_MS = 2000

local mesh = new_mesh{ base = 23 }
mesh:start()
for round = 1, 4 do
  mesh:control("mode?mode=silent")
  sleep_ms(5000 + round * 700)
  mesh:control("mode?mode=up")
  local version = mesh:publish(mesh:make_document())
  print("version " .. version .. " is in force after " ..
        mesh:wait_version(version, APPLY_BOUND_MS) .. " ms")
  local response = mesh:call(mesh.vms[round], "clinica", "GET", "/arquivo/1")
  check(response.outcome == "answered", "not answered after the return of the platform")
end
