-- The demo: a mesh of 3 failure domains with 2 VMs each, on loopback.
-- Run it with `make demo`; it stops every process that it started and fails on any unexpected result.

dofile(LIBRARY .. "/mesh.lua")

local mesh = new_mesh{ base = 1 }
local entry = mesh:vm("vm-1-1")

-- Prints a response and checks its outcome and reason.
local function check_response(title, response, expected_outcome, expected_reason)
  print(string.format("  %-46s %d %s%s%s", title, response.status, tostring(response.outcome),
                      response.reason and (" (" .. response.reason .. ")") or "",
                      response.server and (", answered by " .. response.server) or ""))
  check(response.outcome == expected_outcome, title .. ": expected " .. expected_outcome)
  check(response.reason == expected_reason, title .. ": unexpected reason")
end

print("starting a fake platform and 6 VMs, each with a node and a fake backend server")
print("  all nodes serve after " .. mesh:start() .. " ms")

print("calls under version 1")
for i = 1, 3 do
  check_response("GET /arquivo/slab-" .. i .. " with a key",
                 mesh:call(entry, "clinica", "GET", "/arquivo/slab-" .. i), "answered")
end
check_response("POST /laudos/ with a key",
               mesh:call(entry, "obra", "POST", "/laudos/", {}, "load report"), "answered")
check_response("GET /public/ without a key",
               mesh:call(entry, nil, "GET", "/public/tables"), "answered")

print("refusals")
check_response("GET /arquivo/ without a key",
               mesh:call(entry, nil, "GET", "/arquivo/x"), "not_run", "key_missing")
check_response("GET /arquivo/ with a wrong key",
               mesh:call(entry, "wrong", "GET", "/arquivo/x"), "not_run", "key_unknown")
check_response("GET /nowhere", mesh:call(entry, "clinica", "GET", "/nowhere"), "not_run", "no_route")
check_response("POST with a body above the limit",
               mesh:call(entry, "obra", "POST", "/laudos/", {}, string.rep("x", 1048577)), "not_run",
               "body_too_large")

print("version 2 withdraws the key of team obra and takes zone-3 out of service")
local document = mesh:make_document()
for i, key in ipairs(document.keys) do
  if key.team == "obra" then
    table.remove(document.keys, i)
  end
end
document.failure_domains[3].in_service = false
local published = now_ms()
mesh:publish(document)
mesh:wait_version(2, 8000)
print("  in force on all 6 nodes " .. now_ms() - published .. " ms after its publication")
spawn("watch", { "geraniumpinctl", "watch", "2", "--platform", mesh.platform })
check(wait_exit("watch", 10000) == 0, "version 2 is not in force everywhere")
print("  geraniumpinctl: " .. read_file(LOGS .. "/watch.log"):gsub("\n", ""))
check_response("POST /laudos/ with the withdrawn key",
               mesh:call(entry, "obra", "POST", "/laudos/"), "not_run", "key_unknown")
local before = mesh:read_record(mesh:vm("vm-3-1")).runs
for i = 1, 30 do
  local response = mesh:call(mesh:vm("vm-3-1"), "clinica", "GET", "/arquivo/again-" .. i)
  check(response.outcome == "answered", "a call through zone-3 was not answered")
end
check(mesh:read_record(mesh:vm("vm-3-1")).runs == before, "zone-3 got new requests")
print("  30 calls entering in zone-3 ran elsewhere")

print("no backend server received a key")
for _, vm in ipairs(mesh.vms) do
  for _, name in ipairs(mesh:read_record(vm).headers_seen) do
    check(name ~= "x-api-key" and name ~= "authorization", "a key reached " .. vm.server)
  end
end

print("stopping node vm-1-1 by SIGTERM")
signal("vm-1-1", "TERM")
check(wait_exit("vm-1-1", 15000) == 0, "the node did not stop cleanly")
print("demo passed")
