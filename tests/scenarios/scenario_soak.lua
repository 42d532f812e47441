-- Injects random faults into real processes, one after another and overlapping: kills, pauses,
-- planned stops, partitions, a platform that is down, slow or stale, and new versions, under a load
-- of requests that must run at most once. Checks the results of callers and backend servers.
-- Another seed: scenario-runner --seed N.
dofile(LIBRARY .. "/mesh.lua")

local STEPS = tonumber(os.getenv("SOAK_STEPS") or "") or 14

local mesh = new_mesh{ base = 12, vms = 4, rate = 5000, burst = 5000, relays = true,
                       backend = { "--service-us", "5000" } }
mesh.options.platform_address_of = function(vm) return mesh:platform_address(vm) end
mesh:start()
math.randomseed(SEED)

-- The first VM of each failure domain receives the load and gets no faults.
local entry_vms = { mesh:vm("vm-1-1"), mesh:vm("vm-2-1"), mesh:vm("vm-3-1") }
for i, vm in ipairs(entry_vms) do
  mesh:start_load("load-" .. i, vm, "obra",
            { "--method", "POST", "--path", "/laudos/", "--body-bytes", 200, "--count", STEPS * 150,
              "--rate", 150, "--concurrency", 200, "--tag-prefix", "order-" .. i .. "-" })
end

local function random_vm()
  return mesh:vm("vm-" .. math.random(1, 3) .. "-" .. math.random(2, 4))
end

local highest = {}
local function check_versions()
  for _, vm in ipairs(entry_vms) do
    local status = mesh:status(vm)
    if status then
      check(status.version >= (highest[vm.name] or 0), vm.name .. " went back to an older version")
      highest[vm.name] = status.version
    end
  end
end

local undo_actions = {}
local faults = {
  kill = function()
    local vm = random_vm()
    signal(vm.name, "KILL")
    wait_exit(vm.name, 5000)
    mesh:start_node(vm)
  end,
  pause = function()
    local vm = random_vm()
    signal(vm.name, "STOP")
    table.insert(undo_actions, function() signal(vm.name, "CONT") end)
  end,
  stop = function()
    local vm = random_vm()
    signal(vm.name, "CONT")
    signal(vm.name, "TERM")
    check(wait_exit(vm.name, 15000) >= 0, vm.name .. " did not stop")
    mesh:start_node(vm)
  end,
  cut = function()
    local first = mesh:address_prefix(math.random(1, 3))
    local second = mesh:address_prefix(math.random(1, 3))
    mesh:set_partition(true, first, second)
    table.insert(undo_actions, function() mesh:set_partition(false, first, second) end)
  end,
  platform = function()
    local modes = { "down", "slow", "stale" }
    mesh:control("mode?mode=" .. modes[math.random(1, 3)])
    table.insert(undo_actions, function() mesh:control("mode?mode=up") end)
  end,
  publish = function()
    local document = mesh:make_document()
    document.routes[1].timeout_ms = 2000 + math.random(1, 100)
    mesh:publish(document)
  end,
}
local fault_names = { "kill", "pause", "stop", "cut", "platform", "publish" }

for _ = 1, STEPS do
  local name = fault_names[math.random(1, #fault_names)]
  print("fault " .. name)
  faults[name]()
  sleep_ms(math.random(100, 700))
  check_versions()
  if #undo_actions > 0 and math.random() < 0.6 then
    table.remove(undo_actions, 1)()
  end
end
for _, action in ipairs(undo_actions) do
  action()
end

-- After the faults, a new version reaches every node and all nodes serve.
mesh:control("mode?mode=up")
mesh:publish(mesh:make_document())
print("after the faults the last version is in force after " ..
      mesh:wait_version(mesh.version, 10000) .. " ms")
mesh:wait_serving(15000)

local answered, total, not_run = wait_loads(3, 120000)
for _, vm in ipairs(mesh.vms) do
  for tag, count in pairs(mesh:read_record(vm).runs_by_tag) do
    check(count == 1, tag .. " ran " .. count .. " times")
    check(not not_run[tag], tag .. " ran, and its caller was told that it did not")
  end
end
check(answered > 0.5 * total, "only " .. answered .. " of " .. total .. " were answered")
