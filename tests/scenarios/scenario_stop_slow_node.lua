-- A planned stop (SIGTERM) of a node that gets a tenth of a core: it ends in time, and no request ends
-- without an answer. The node is paused and resumed in turns.
dofile(LIBRARY .. "/mesh.lua")

local DRAIN_TIMEOUT_MS = 5000
local LOSS_SLACK_MS = 200 -- a request that crosses the close of its connection ends earlier
local PAUSE_MS, RUN_MS = 90, 10

local mesh = new_mesh{ base = 21, rate = 5000, burst = 5000, timeout_ms = 4000,
                       drain_timeout_ms = DRAIN_TIMEOUT_MS,
                       backend = { "--service-us", "20000", "--log-runs" } }
mesh:start()

local entry = mesh:vm("vm-1-1")
local function run_slowly_for(ms)
  local start = now_ms()
  while now_ms() - start < ms do
    signal(entry.name, "STOP")
    sleep_ms(PAUSE_MS)
    signal(entry.name, "CONT")
    local code = wait_exit(entry.name, RUN_MS)
    if code >= 0 then
      return code
    end
  end
  return -1
end

mesh:start_clients("clients", { entry }, "obra",
  { "--seed", SEED, "--clients", 30, "--timeout-ms", 4000, "--think-ms", 100, "--give-up-share", 0,
    "--new-connection-share", 0.3 })
check(run_slowly_for(2000) == -1, "the node ended by itself")
signal(entry.name, "TERM")
local stopped_at = now_ms()
local code = run_slowly_for(DRAIN_TIMEOUT_MS + 5000)
local stop_ms = now_ms() - stopped_at
local ends = stop_clients("clients", 15000)
print("exit code " .. code .. " after " .. stop_ms .. " ms: " .. encode(count_kinds(ends)))

local lost, latencies = {}, {}
for _, request in ipairs(ends) do
  local lasted = request.end_ms - request.sent_ms
  if (request.kind == "closed" and lasted > LOSS_SLACK_MS) or request.kind == "silent" then
    table.insert(lost, request.tag .. " (" .. request.kind .. ", sent " ..
                 request.sent_ms - stopped_at .. " ms after SIGTERM, closed after " ..
                 request.end_ms - stopped_at .. " ms)")
  elseif request.kind == "answered" then
    table.insert(latencies, lasted)
  end
end
table.sort(latencies)
print("median of the answered: " .. (latencies[#latencies // 2] or 0) .. " ms")
check(#latencies > 100, "only " .. #latencies .. " were answered")
check(code >= 0 and stop_ms <= DRAIN_TIMEOUT_MS + 1000, "the stop took " .. stop_ms .. " ms")
check(#lost == 0, #lost .. " requests got no answer: " .. table.concat(lost, ", "))
