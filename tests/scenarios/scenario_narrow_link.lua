-- Calls and versions reach a node while the uploads of other nodes exceed its link of 10 Mbit/s. They
-- waited for seconds behind bodies that their senders had sent without a bound.
dofile(LIBRARY .. "/mesh.lua")

local LINK_MBPS = 10
local UPLOAD_BYTES = 60000
local UPLOADS_PER_S = 50 -- 24 Mbit/s
local SECONDS = 8
local APPLY_BOUND_MS = 2000

local mesh = new_mesh{ base = 11, domains = 1, vms = 6, relays = true, link_mbps = LINK_MBPS,
                       rate = 5000, burst = 5000, timeout_ms = 2500,
                       services = { "arquivo", "laudos", "laudos", "laudos", "laudos", "laudos" } }

-- The only instance of the uploads, and of the open route, is at the first node.
local default_document = mesh.make_document
function mesh:make_document()
  local document = default_document(self)
  local upload = document.routes[2]
  upload.path_prefix, upload.service = "/uploads/", "arquivo"
  upload.target_latency_ms, upload.priority = 2000, 2
  return document
end

local receiver = mesh.vms[1]
mesh.options.platform_address_of = function(vm)
  return vm == receiver and mesh:platform_address(vm) or mesh.platform
end
mesh:start()
-- The receiver loses the platform, so that versions reach it from other nodes.
mesh:set_partition(true, "", "127." .. mesh.base .. ".1.", true)
mesh:set_rate(receiver.ip, LINK_MBPS)
for i = 2, 6 do
  mesh:start_load("load-" .. i - 1, mesh.vms[i], "clinica",
                  { "--method", "POST", "--path", "/uploads/x", "--body-bytes", UPLOAD_BYTES,
                    "--rate", UPLOADS_PER_S // 5, "--concurrency", 100,
                    "--count", UPLOADS_PER_S // 5 * SECONDS })
end
mesh:start_load("calls", mesh.vms[2], "clinica",
                { "--path", "/public/x", "--rate", 20, "--concurrency", 100, "--count", 20 * SECONDS })
for _ = 1, 4 do
  sleep_ms(1000)
  local version = mesh:publish(mesh:make_document())
  print("version " .. version .. " is in force after " .. mesh:wait_version(version, APPLY_BOUND_MS) .. " ms")
end

local calls = wait_load("calls", 60000)
print("calls: " .. encode(calls.outcomes) .. ", p99 " .. calls.p99_us .. " us")
local answered, sent = wait_loads(5, 60000)
print(answered .. " of " .. sent .. " uploads answered")
check((calls.outcomes.answered or 0) >= calls.sent * 0.95, "calls failed behind uploads")
local capacity = LINK_MBPS * 125000 * SECONDS / UPLOAD_BYTES
check(answered >= capacity * 0.5, "the link was left unused")
