-- A planned stop (SIGTERM) of an entry node and of an owner node under load breaks no accepted
-- request.
dofile(LIBRARY .. "/mesh.lua")

local mesh = new_mesh{ base = 2, rate = 5000, burst = 5000 }
mesh:start()

local entry, owner = mesh:vm("vm-1-1"), mesh:vm("vm-2-1")
mesh:start_load("load-other", mesh:vm("vm-3-2"), "clinica",
          { "--path", "/arquivo/x", "--count", 1500, "--rate", 500, "--concurrency", 50 })
mesh:start_load("load-entry", entry, "obra",
          { "--path", "/arquivo/y", "--count", 1500, "--rate", 500, "--concurrency", 50 })
sleep_ms(1000)
signal(entry.name, "TERM")
signal(owner.name, "TERM")
check(wait_exit(entry.name, 15000) == 0, "the entry node did not drain")
check(wait_exit(owner.name, 15000) == 0, "the owner node did not drain")

local other = wait_load("load-other", 30000)
local stopped = wait_load("load-entry", 30000)
print("through another node: " .. encode(other.outcomes))
print("through the stopped node: " .. encode(stopped.outcomes))
check(other.outcomes.answered == 1500, "a request through another node was not answered")
for outcome in pairs(stopped.outcomes) do
  check(outcome == "answered" or outcome == "not_run:draining" or outcome == "connect_failed",
        "a request through the stopped node ended as " .. outcome)
end
