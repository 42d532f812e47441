-- A planned stop (SIGTERM) while backend servers hang: every request that the node has read gets an
-- answer before the exit, also one whose deadline lies beyond the drain timeout.
dofile(LIBRARY .. "/mesh.lua")

local DRAIN_TIMEOUT_MS = 5000
local LOSS_SLACK_MS = 200 -- a request that crosses the close of its connection ends earlier

local mesh = new_mesh{ base = 15, rate = 5000, burst = 5000, timeout_ms = 4000,
                       drain_timeout_ms = DRAIN_TIMEOUT_MS, backend = { "--log-runs" } }
mesh:start()

local entry = mesh:vm("vm-1-1")
mesh:start_clients("clients", { entry }, "obra",
  { "--seed", SEED, "--clients", 12, "--timeout-ms", 4000, "--think-ms", 50, "--long-share", 0,
    "--short-timeout-share", 0, "--give-up-share", 0 })
sleep_ms(500)
signal(entry.name, "TERM")
local stopped_at = now_ms()
sleep_ms(1500)
for _, vm in ipairs(mesh.vms) do
  http{ address = vm.backend, path = "/control/hang?on=true" }
end
local code = wait_exit(entry.name, DRAIN_TIMEOUT_MS + 5000)
local stop_ms = now_ms() - stopped_at
local ends = stop_clients("clients", 15000)
print("exit code " .. code .. " after " .. stop_ms .. " ms: " .. encode(count_kinds(ends)))

local lost = {}
for _, request in ipairs(ends) do
  if request.kind == "closed" and request.end_ms - request.sent_ms > LOSS_SLACK_MS then
    table.insert(lost, request.tag .. " (sent " .. request.sent_ms - stopped_at ..
                 " ms after SIGTERM, closed after " .. request.end_ms - stopped_at .. " ms)")
  end
end
check(code >= 0 and stop_ms <= DRAIN_TIMEOUT_MS + 1000, "the stop took " .. stop_ms .. " ms")
check(#lost == 0, #lost .. " requests got no answer: " .. table.concat(lost, ", "))
