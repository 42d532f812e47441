-- A node that stands still while a planned stop (SIGTERM) ends its accept phase: the connections and
-- requests that arrive in that time are read and answered before the exit.
dofile(LIBRARY .. "/mesh.lua")

local DRAIN_TIMEOUT_MS = 5000
local PAUSE_AT_MS, PAUSE_MS = 2400, 600 -- covers the end of the accept phase, 2,500 ms after SIGTERM
local LOSS_SLACK_MS = 200 -- a request that crosses the close of its connection ends earlier

local mesh = new_mesh{ base = 24, rate = 5000, burst = 5000, drain_timeout_ms = DRAIN_TIMEOUT_MS }
mesh:start()

local entry = mesh:vm("vm-1-1")
mesh:start_clients("clients", { entry }, "obra",
  { "--seed", SEED, "--clients", 24, "--think-ms", 20, "--long-share", 0,
    "--short-timeout-share", 0, "--give-up-share", 0 })
sleep_ms(500)
signal(entry.name, "TERM")
local stopped_at = now_ms()
sleep_ms(PAUSE_AT_MS)
signal(entry.name, "STOP")
sleep_ms(PAUSE_MS)
signal(entry.name, "CONT")
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
check(code == 0 and stop_ms <= DRAIN_TIMEOUT_MS + 1000,
      "exit code " .. code .. " after " .. stop_ms .. " ms")
check(#lost == 0, #lost .. " requests got no answer: " .. table.concat(lost, ", "))
