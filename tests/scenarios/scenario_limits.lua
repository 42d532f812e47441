-- One team sends five times its rate through all nodes while another one stays within its rate.
dofile(LIBRARY .. "/mesh.lua")

local rate, burst = 120, 60
local mesh = new_mesh{ base = 8, rate = rate, burst = burst }
mesh:start()
sleep_ms(2000)
local start = now_ms()
for i, vm in ipairs(mesh.vms) do
  mesh:start_load("load-large-" .. i, vm, "clinica",
            { "--path", "/arquivo/x", "--count", 600, "--rate", 5 * rate / 6, "--concurrency", 50,
              "--tag-prefix", "large-" .. i .. "-" })
end
mesh:start_load("load-small", mesh:vm("vm-2-2"), "obra",
          { "--path", "/arquivo/x", "--count", 200, "--rate", rate / 6, "--concurrency", 20 })
local answered, refused = 0, 0
for i = 1, #mesh.vms do
  local result = wait_load("load-large-" .. i, 60000)
  answered = answered + (result.outcomes.answered or 0)
  refused = refused + (result.outcomes["not_run:over_rate"] or 0)
end
local seconds = (now_ms() - start) / 1000
local small = wait_load("load-small", 60000)
print(string.format("large team: %d answered, %d refused in %.2f s; allowed %.0f", answered, refused,
                    seconds, burst + rate * seconds))
print("small team: " .. encode(small.outcomes))
local runs = 0
for _, vm in ipairs(mesh.vms) do
  for _, count in pairs(mesh:read_record(vm).runs_by_tag) do
    runs = runs + count
  end
end
check(runs <= burst + rate * seconds, "the team exceeded its rate and burst")
check(answered >= 0.5 * rate * seconds, "the team got less than half of its rate")
check(refused > 0, "nothing was refused")
check(small.outcomes.answered == 200, "a team within its rate was refused")
