-- Clients that never complete a request make a node hold bytes for them: bodies with a length, in
-- pieces, in large chunks and in chunks of one byte, each stopping just short of its end, bodies over
-- the limit, and responses that are not read. The node lives, its memory and descriptors stay within
-- the limits of its machine, and an ordinary request is answered. No times are checked.
dofile(LIBRARY .. "/mesh.lua")

local MB = 1048576
local MEMORY_MB = 96
local BODY = 8 * MB
local CLIENTS = 24 -- whose bodies are together twice the memory of the machine
-- Of a node without callers, its peers and platform, with room for the clients' connections.
local MAX_DESCRIPTORS = 64 + 2 * CLIENTS

local mesh = new_mesh{ base = 20, domains = 1, vms = 2, backend_program = "standin-raw_server",
                       max_body_bytes = BODY, memory_mb = MEMORY_MB, timeout_ms = 20000,
                       rate = 5000, burst = 5000 }
mesh:start()
local entry = mesh:vm("vm-1-1")

local CASES = {
  { "length", "--stated-bytes", BODY, "--sent-bytes", BODY - 1 },
  { "pieces", "--stated-bytes", BODY, "--sent-bytes", BODY - 1, "--piece-bytes", 1000 },
  { "chunked", "--sent-bytes", BODY - 1 },
  { "chunked_tiny", "--sent-bytes", BODY // 2, "--piece-bytes", 1 },
  { "over_declared", "--stated-bytes", 4 * BODY, "--sent-bytes", 4 * BODY - 1 },
  { "over_sent", "--sent-bytes", 4 * BODY },
  { "unread", "--answer-bytes", BODY },
}

local faults = {}
local function expect(condition, message)
  if not condition then
    print("fault: " .. message)
    table.insert(faults, message)
  end
end

local OK = "HTTP/1.1%20200%20OK%0D%0Ageraniumpin-request-id:%20$ID%0D%0Acontent-length:%202%0D%0A%0D%0Aok"

local function ordinary_request()
  return mesh:call(entry, "obra", "GET", "/arquivo/x", { ["x-answer"] = OK })
end
check(ordinary_request().body == "ok", "no answer before the clients came")
print("at the start: " .. peak_memory_kb(entry.name) // 1024 .. " MB, " ..
      open_descriptors(entry.name) .. " descriptors")

for _, case in ipairs(CASES) do
  local name = case[1]
  local command = { "standin-hostile_clients", "--target", entry.caller, "--key", mesh.keys.obra,
                    "--clients", tostring(CLIENTS) }
  for i = 2, #case do
    table.insert(command, tostring(case[i]))
  end
  spawn(name, command)
  local log = LOGS .. "/" .. name .. ".log"
  wait_until("the clients " .. name .. " have sent", 60000, function()
    return read_file(log):find("sent %d+") or wait_exit(entry.name, 0) ~= -1
  end)
  check(wait_exit(entry.name, 0) == -1, name .. ": the node ended")
  local peak, descriptors = peak_memory_kb(entry.name) // 1024, open_descriptors(entry.name)
  print(name .. ": peak " .. peak .. " MB, now " .. memory_kb(entry.name) // 1024 .. " MB, " ..
        descriptors .. " descriptors, clients " .. read_file(log):gsub("\n", ""))
  expect(peak <= MEMORY_MB, name .. ": " .. peak .. " MB of " .. MEMORY_MB)
  expect(descriptors <= MAX_DESCRIPTORS, name .. ": " .. descriptors .. " descriptors")
  local response = ordinary_request()
  expect(response.body == "ok", name .. ": an ordinary request ended with " .. response.status)
  signal(name, "TERM")
  check(wait_exit(name, 10000) == 0, "the clients " .. name .. " did not end")
end
check(#faults == 0, #faults .. " faults, the first one: " .. (faults[1] or ""))
