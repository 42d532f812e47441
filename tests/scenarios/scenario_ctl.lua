-- geraniumpinctl names a paused node as lagging, and reports success after it has caught up.
dofile(LIBRARY .. "/mesh.lua")

local mesh = new_mesh{ base = 18 }
mesh:start()
local function ctl(name, arguments)
  spawn(name, { "geraniumpinctl", table.unpack(arguments) })
  return wait_exit(name, 15000), read_file(LOGS .. "/" .. name .. ".log")
end

local paused = mesh:vm("vm-2-1")
signal(paused.name, "STOP")
mesh:publish(mesh:make_document())
local code, text = ctl("watch", { "watch", "2", "--platform", mesh.platform, "--deadline-ms", "2500" })
check(code == 1 and text:find("lagging: " .. paused.peer, 1, true), "watch: " .. code .. " " .. text)
code, text = ctl("status", { "status", "--platform", mesh.platform, "--json" })
check(code == 1 and text:find("no_answer", 1, true), "status: " .. code .. " " .. text)
signal(paused.name, "CONT")
code, text = ctl("again", { "watch", "2", "--platform", mesh.platform })
check(code == 0, "watch after the node resumed: " .. code .. " " .. text)

local admin = mesh:vm("vm-1-1").admin
code, text = ctl("explain", { "explain", "/arquivo/a", "--node", admin, "--key", mesh.keys.clinica })
check(code == 0 and text:find("chosen: arquivo", 1, true), "explain: " .. code .. " " .. text)
code, text = ctl("refused", { "explain", "/arquivo/a", "--node", admin })
check(code == 1 and text:find("key_missing", 1, true), "explain without a key: " .. code .. " " .. text)
code = ctl("nobody", { "metrics", "--node", "127.180.9.9:8100" })
check(code == 3, "metrics of an unused address: " .. code)
