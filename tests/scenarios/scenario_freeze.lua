-- A node is paused (SIGSTOP) while three versions are published, and must catch up when it resumes;
-- twice.
dofile(LIBRARY .. "/mesh.lua")

local mesh = new_mesh{ base = 4 }
mesh:start()
for round = 1, 2 do
  local paused = mesh:vm("vm-2-" .. round)
  signal(paused.name, "STOP")
  local others = {}
  for _, vm in ipairs(mesh.vms) do
    if vm ~= paused then
      table.insert(others, vm)
    end
  end
  for _ = 1, 3 do
    mesh:publish(mesh:make_document())
    mesh:wait_version(mesh.version, 8000, others)
  end
  for i = 1, 30 do
    local response = mesh:call(mesh:vm("vm-1-1"), "clinica", "GET", "/arquivo/" .. i)
    check(response.outcome == "answered", "a call was not answered while a node is paused: " ..
          tostring(response.outcome) .. " " .. tostring(response.reason))
  end
  signal(paused.name, "CONT")
  print("the paused node runs version " .. mesh.version .. " after " ..
        mesh:wait_version(mesh.version, 8000) .. " ms")
end
