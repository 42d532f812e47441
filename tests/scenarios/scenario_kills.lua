-- Nodes and backend servers are killed under a load of requests that must run at most once.
dofile(LIBRARY .. "/mesh.lua")

local mesh = new_mesh{ base = 9, vms = 4, rate = 5000, burst = 5000,
                       backend = { "--service-us", "5000" } }
mesh:start()
math.randomseed(SEED)
for i, name in ipairs{ "vm-1-1", "vm-2-1", "vm-3-1" } do
  mesh:start_load("load-" .. i, mesh:vm(name), "obra",
            { "--method", "POST", "--path", "/laudos/", "--body-bytes", 200, "--count", 2000,
              "--rate", 250, "--concurrency", 100, "--tag-prefix", "order-" .. i .. "-" })
end
-- Owner nodes and backend servers are killed and restarted; the entry nodes are not.
local runs_by_tag = {}
local function collect_runs(vm)
  for tag, count in pairs(mesh:read_record(vm).runs_by_tag) do
    runs_by_tag[tag] = (runs_by_tag[tag] or 0) + count
  end
end
for _ = 1, 6 do
  sleep_ms(400)
  local vm = mesh:vm("vm-" .. math.random(1, 3) .. "-" .. 2 * math.random(1, 2))
  signal(vm.name, "KILL")
  wait_exit(vm.name, 5000)
  mesh:start_node(vm)
  sleep_ms(300)
  -- The record of a backend server is lost when it is killed, so it is read first.
  local other = mesh:vm("vm-" .. math.random(1, 3) .. "-" .. 2 * math.random(1, 2))
  collect_runs(other)
  signal("backend-" .. other.name, "KILL")
  wait_exit("backend-" .. other.name, 5000)
  mesh:start_backend(other)
end
local answered, total, not_run = wait_loads(3, 60000)
for _, vm in ipairs(mesh.vms) do
  collect_runs(vm)
end
for tag, count in pairs(runs_by_tag) do
  check(count == 1, tag .. " ran " .. count .. " times")
  check(not not_run[tag], tag .. " ran, and its caller was told that it did not")
end
check(answered >= 0.9 * total, "only " .. answered .. " of " .. total .. " were answered")
