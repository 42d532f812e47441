-- Measures convergence time, control traffic, processor time and platform calls by number of nodes.
dofile(LIBRARY .. "/mesh.lua")

local change_count, idle_ms = 10, 4000

local function sum_metric(mesh, group, name)
  local sum = 0
  for _, vm in ipairs(mesh.vms) do
    sum = sum + (mesh:metrics(vm)[group][name] or 0)
  end
  return sum
end

local function sum_processor_ms(mesh)
  local sum = 0
  for _, vm in ipairs(mesh.vms) do
    sum = sum + processor_ms(vm.name)
  end
  return sum
end

print("nodes  convergence ms      control bytes      processor ms    platform calls  memory")
print("       median   worst   idle B/s  B/change  idle ms/s  /change      in idle/s      MB")
for step, size in ipairs{ 2, 4, 8, 16 } do
  local mesh = new_mesh{ base = 12 + step, domains = 3, vms = size }
  mesh:start()
  local nodes = #mesh.vms
  sleep_ms(1000)

  local calls_before = decode(mesh:control("count").body).calls
  local sent_before = sum_metric(mesh, "transport", "sent_bytes")
  local processor_before, start = sum_processor_ms(mesh), now_ms()
  sleep_ms(idle_ms)
  local seconds = (now_ms() - start) / 1000
  local idle_bytes = (sum_metric(mesh, "transport", "sent_bytes") - sent_before) / nodes / seconds
  local idle_processor = (sum_processor_ms(mesh) - processor_before) / nodes / seconds
  local idle_calls = (decode(mesh:control("count").body).calls - calls_before) / seconds

  local times = {}
  sent_before = sum_metric(mesh, "transport", "sent_bytes")
  processor_before, start = sum_processor_ms(mesh), now_ms()
  for _ = 1, change_count do
    local document = mesh:make_document()
    document.routes[1].timeout_ms = 2000 + mesh.version
    mesh:publish(document)
    table.insert(times, mesh:wait_version(mesh.version, 8000))
  end
  seconds = (now_ms() - start) / 1000
  local bytes = (sum_metric(mesh, "transport", "sent_bytes") - sent_before) / nodes -
                idle_bytes * seconds
  local change_processor_ms = (sum_processor_ms(mesh) - processor_before) / nodes -
                              idle_processor * seconds
  table.sort(times)
  print(string.format("%5d  %6d  %6d   %8.0f  %8.0f  %9.2f  %7.2f  %13.1f  %6.1f", nodes,
                      times[(change_count + 1) // 2], times[change_count], idle_bytes,
                      bytes / change_count,
                      idle_processor, change_processor_ms / change_count, idle_calls,
                      memory_kb(mesh.vms[1].name) / 1024))
  for _, vm in ipairs(mesh.vms) do
    signal(vm.name, "KILL")
    signal("backend-" .. vm.name, "KILL")
    wait_exit(vm.name, 5000)
    wait_exit("backend-" .. vm.name, 5000)
  end
  signal("platform", "KILL")
  wait_exit("platform", 5000)
end
