-- Measures added latency, memory and processor time of two nodes, with real processes on loopback.
dofile(LIBRARY .. "/mesh.lua")

local mesh = new_mesh{ base = 11, domains = 1, vms = 2, services = { "laudos", "arquivo" }, rate = 1000000,
                       burst = 1000000, backend = { "--service-us", "0", "--slots", "1000" } }
mesh:start_platform()
local document = mesh:make_document()
for _, service in ipairs(document.services) do
  service.slots = 1000
end
mesh:publish(document)
mesh:publish_vms()
for _, vm in ipairs(mesh.vms) do
  mesh:start_backend(vm)
  mesh:start_node(vm)
end
wait_until("the nodes serve", 15000, function()
  for _, vm in ipairs(mesh.vms) do
    local status = mesh:status(vm)
    if not status or status.state ~= "serving" then
      return false
    end
  end
  return mesh:call(mesh.vms[1], "clinica", "GET", "/arquivo/x").outcome == "answered"
end)
sleep_ms(3000)

local entry, owner = mesh.vms[1], mesh.vms[2]
print(string.format("memory of an idle node: %.1f MB", memory_kb(entry.name) / 1024))

local function run_load(name, target, concurrency, count)
  spawn(name, { "standin-caller", "--target", target, "--key", mesh.keys.clinica, "--path",
                "/arquivo/x", "--count", tostring(count), "--concurrency", tostring(concurrency) })
  local result = wait_load(name, 120000)
  check(result.outcomes.answered == count or result.outcomes.direct == count,
        "not all requests were answered: " .. encode(result.outcomes))
  return result
end

local function median(values)
  table.sort(values)
  return values[(#values + 1) // 2]
end

-- Direct and proxied loads alternate, so that both run under the same conditions of the machine.
print("added latency of two nodes, compared with a direct connection to the backend server (target: 790 us added at the 99th percentile)")
for _, concurrency in ipairs{ 1, 4 } do
  local added50, added99, ratio50, ratio99 = {}, {}, {}, {}
  for round = 1, 5 do
    local suffix = "-" .. concurrency .. "-" .. round
    local direct = run_load("direct" .. suffix, owner.backend, concurrency, 4000)
    local proxied = run_load("proxied" .. suffix, entry.caller, concurrency, 4000)
    added50[round] = proxied.p50_us - direct.p50_us
    added99[round] = proxied.p99_us - direct.p99_us
    ratio50[round] = proxied.p50_us / direct.p50_us
    ratio99[round] = proxied.p99_us / direct.p99_us
  end
  print(string.format(
    "  concurrency %d: p50 +%d us (x%.2f), p99 +%d us (x%.2f): p99 is %.2f of the target, %s",
    concurrency, median(added50), median(ratio50), median(added99), median(ratio99),
    median(added99) / 790, median(added99) <= 790 and "met" or "missed"))
end

local before_entry, before_owner = processor_ms(entry.name), processor_ms(owner.name)
run_load("cost", entry.caller, 8, 20000)
print(string.format("processor time of a call: entry node %.1f us, owner node %.1f us",
                    (processor_ms(entry.name) - before_entry) / 20,
                    (processor_ms(owner.name) - before_owner) / 20))
