-- Instances whose answers are malformed or break off: callers get none of them as an answer, nothing
-- that may not run twice runs again or is reported as not run, and the log names the cause. Answers
-- that look alike are delivered.
dofile(LIBRARY .. "/mesh.lua")

local MB = 1048576
local mesh = new_mesh{ base = 13, domains = 1, vms = 2, backend_program = "standin-raw_server",
                       max_body_bytes = 32 * MB, timeout_ms = 20000 }
mesh:start()

local owner = mesh:vm("vm-1-2") -- of laudos, whose requests may run once
local OK = "HTTP/1.1 200 OK\r\ngeraniumpin-request-id: $ID\r\n"
local GOOD = OK .. "content-length: 4\r\n\r\ngood"
local UPLOAD = string.rep("x", 24 * MB)

local function percent_encode(bytes)
  return (bytes:gsub("[^%w]", function(byte) return string.format("%%%02X", byte:byte()) end))
end

local calls = 0
local function send(entry, answer, options)
  calls = calls + 1
  local tag = "t" .. calls
  local response = mesh:call(entry, "obra", "POST", "/laudos/x",
    { ["geraniumpin-request-id"] = tag, ["x-tag"] = tag, ["x-answer"] = percent_encode(answer),
      ["x-end"] = options.ending or "keep", ["x-read-body"] = options.read_body },
    options.body or "body")
  response.tag = tag
  return response
end

-- Returns the numbers of the connections on which the instance got a request.
local function runs_of(tag)
  local connections = {}
  for number in read_file(LOGS .. "/backend-" .. owner.name .. ".log"):gmatch("run " .. tag .. " (%d+)\n") do
    table.insert(connections, number)
  end
  return connections
end

local function check_delivered(entry, what, answer, options, status, body)
  local response = send(entry, answer, options)
  check(response.status == status and response.body == body and response.outcome == "answered",
        what .. ": status " .. response.status .. ", " .. #response.body .. " bytes")
  return runs_of(response.tag)[1]
end

local function check_broken(entry, what, answer, options, detail)
  local response = send(entry, answer, options)
  local runs = runs_of(response.tag)
  check(response.status == 502 and response.outcome == "unknown" and response.body == "",
        what .. ": status " .. response.status .. ", outcome " .. tostring(response.outcome) .. ", " ..
        #response.body .. " bytes")
  check(#runs == 1, what .. ": ran " .. #runs .. " times")
  -- More answers than failures, so that the owner does not take the instance for a failing one.
  for _ = 1, 2 do
    local connection = check_delivered(entry, "after " .. what, GOOD, {}, 200, "good")
    check(connection ~= runs[1], what .. ": its connection was used again")
  end
  local lines = {}
  for line in read_file(LOGS .. "/" .. owner.name .. ".log"):gmatch("[^\n]*event=exchange_broken[^\n]*") do
    if line:find("request=" .. response.tag .. " ", 1, true) then
      table.insert(lines, line)
    end
  end
  check(#lines == 1 and lines[1]:find('detail="' .. detail .. '"', 1, true),
        what .. ": logged as " .. table.concat(lines, " | "))
end

for _, entry in ipairs{ owner, mesh:vm("vm-1-1") } do
  check_delivered(entry, "a good answer", GOOD, {}, 200, "good")
  check_broken(entry, "status 000", (GOOD:gsub("200 OK", "000 ")), {}, "bad status")
  check_broken(entry, "status 999", (GOOD:gsub("200 OK", "999 ")), {}, "bad status")
  check_broken(entry, "blank in a field name", OK .. "x y: 1\r\ncontent-length: 4\r\n\r\nbody", {},
               "bad field")
  check_broken(entry, "control byte in a field name",
               OK .. "content\1-length: 1\r\ncontent-length: 4\r\n\r\nbody", {}, "bad field")
  check_broken(entry, "transfer coding that nobody asked for",
               OK .. "transfer-encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", {},
               "bad Transfer-Encoding")
  check_broken(entry, "close within a body", OK .. "content-length: 9\r\n\r\npart",
               { ending = "close" }, "closed within the response")
  check_broken(entry, "reset within a body without length", OK .. "\r\npart", { ending = "reset" },
               "connection reset or timed out")
  -- Resets before, while and after the instance reads an upload.
  for _, read_body in ipairs{ 0, MB, 12 * MB, 24 * MB } do
    check_broken(entry, "reset after " .. read_body .. " bytes of an upload", OK .. "\r\npart",
                 { ending = "reset", body = UPLOAD, read_body = tostring(read_body) },
                 "connection reset or timed out")
  end

  check_delivered(entry, "early answer with its length", GOOD,
                  { ending = "reset", body = UPLOAD, read_body = "0" }, 200, "good")
  check_delivered(entry, "early answer that ends with its stream", OK .. "\r\ngood",
                  { ending = "end-stream", body = UPLOAD, read_body = "0" }, 200, "good")
  check_delivered(entry, "answer that ends with its connection", OK .. "\r\ngood",
                  { ending = "close" }, 200, "good")
  check_delivered(entry, "answer after interim ones",
                  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" .. GOOD, {}, 200, "good")
  check_delivered(entry, "answer without content",
                  "HTTP/1.1 204 No Content\r\ngeraniumpin-request-id: $ID\r\n\r\n", {}, 204, "")
end

-- The command line reads answers of nodes.
local function ctl(name, answer, ending)
  local address = "127.130.9.9:" .. 9100 + #name
  spawn("raw-" .. name, { "standin-raw_server", "--listen", address, "--answer", percent_encode(answer),
                          "--end", ending })
  sleep_ms(200)
  spawn(name, { "geraniumpinctl", "metrics", "--node", address })
  return wait_exit(name, 15000), read_file(LOGS .. "/" .. name .. ".log")
end
local code, text = ctl("status", "HTTP/1.1 000 \r\ncontent-length: 2\r\n\r\n{}", "keep")
check(code == 3 and text:find("bad status", 1, true), "metrics with status 000: " .. code .. " " .. text)
code, text = ctl("reset", "HTTP/1.1 200 OK\r\n\r\n{}", "reset")
check(code == 3 and text:find("connection reset", 1, true), "metrics cut by a reset: " .. code .. " " .. text)
