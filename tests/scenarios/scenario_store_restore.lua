-- The users' store goes away and comes back from an older copy, with and without an era in its
-- answers. What was in force stays in force, and what is written afterwards takes effect in time.
dofile(LIBRARY .. "/store_mesh.lua")
math.randomseed(SEED)

local CONFIG_BOUND_MS = 2000 -- config_apply
local DRAIN_BOUND_MS = 2000  -- drain_timeout
local DOWN_MS = 700
local ROUNDS = 2

-- Requests of all nodes for what was confirmed; a fault is kept until the end of the round.
local Watch = {}
Watch.__index = Watch

function Watch:fault(text)
  self.faults[text] = (self.faults[text] or 0) + 1
end

function Watch:probe()
  local mesh = self.mesh
  for _, vm in ipairs(mesh.vms) do
    mesh:write_due_entries()
    for prefix in pairs(self.confirmed) do
      local status = mesh:send(vm, prefix, "key-kept").status
      self.statuses["status " .. status] = (self.statuses["status " .. status] or 0) + 1
      if status == 404 or status == 401 then
        self:fault("(d) a confirmed route was refused with " .. status .. ": " .. vm.name .. prefix)
      end
    end
    for prefix in pairs(self.removed) do
      if mesh:send(vm, prefix, "key-kept").status == 200 then
        self:fault("(b) a removed route was served: " .. vm.name .. prefix)
      end
    end
    for key in pairs(self.withdrawn) do
      if mesh:send(vm, "/kept-a/", key).status == 200 then
        self:fault("(b) a withdrawn key was served: " .. vm.name .. " " .. key)
      end
    end
  end
end

function Watch:probe_for(ms)
  local start = now_ms()
  repeat
    self:probe()
  until now_ms() - start >= ms
end

-- Waits until the change that was acknowledged is in force at all nodes.
function Watch:confirm(what, ack_ms, added, removed, withdrawn)
  local function in_force(vm)
    local mesh = self.mesh
    return (not added or mesh:send(vm, added, "key-kept").status == 200) and
           (not removed or mesh:send(vm, removed, "key-kept").status == 404) and
           (not withdrawn or mesh:send(vm, "/kept-a/", withdrawn).status == 401)
  end
  local pending = {}
  for _, vm in ipairs(self.mesh.vms) do
    pending[vm.name] = vm
  end
  local elapsed
  repeat
    self.mesh:write_due_entries()
    for name, vm in pairs(pending) do
      if in_force(vm) and now_ms() - ack_ms <= CONFIG_BOUND_MS then
        pending[name] = nil
      end
    end
    elapsed = now_ms() - ack_ms
    sleep_ms(5)
  until not next(pending) or elapsed > CONFIG_BOUND_MS
  for name in pairs(pending) do
    self:fault("(a) " .. what .. " was not in force after " .. CONFIG_BOUND_MS .. " ms: " .. name)
  end
  print(what .. (next(pending) and ": not in force" or ": in force") .. " after " .. elapsed .. " ms")
  if not next(pending) then
    for kind, entry in pairs{ confirmed = added, removed = removed, withdrawn = withdrawn } do
      self[kind][entry] = true
    end
  end
end

-- Lets the instance of a VM say that it drains; check_drained judges its runs later.
function Watch:drain(vm)
  vm.state = "draining"
  vm.drain_ack_ms = self.mesh:put_instance(vm)
end

function Watch:check_drained(vm)
  local before, late, last = 0, 0, 0
  for _, run in ipairs(self.mesh:read_runs(vm)) do
    before = before + (run.start_ms < vm.drain_ack_ms and 1 or 0)
    late = late + (run.start_ms > vm.drain_ack_ms + DRAIN_BOUND_MS and 1 or 0)
    last = run.start_ms
  end
  print(vm.name .. " drains: " .. before .. " requests before its acknowledgement, the last " ..
        (last - vm.drain_ack_ms) .. " ms after it")
  check(before > 0, "the draining instance of " .. vm.name .. " had got no requests")
  if late > 0 then
    self:fault("(c) " .. late .. " requests later than " .. DRAIN_BOUND_MS ..
               " ms after the draining of " .. vm.name)
  end
end

local function run_round(watch, round)
  local mesh = watch.mesh
  local name = "round " .. round
  local old, new, next_route = "/old-" .. round .. "/", "/new-" .. round .. "/", "/next-" .. round .. "/"
  mesh.routes[old], mesh.keys["key-old-" .. round] = "service-a", true
  watch:confirm(name .. ": the routes of the copy", mesh:publish_config(), old)
  watch.confirmed[old] = nil -- is removed below
  watch:probe_for(math.random(300, 900))

  -- What the copy does not have.
  local copy_ms = now_ms()
  for i = 1, 80 do
    mesh:put("other/" .. i, "{}")
  end
  mesh.routes[new], mesh.routes[old] = "service-b", nil
  mesh.keys["key-old-" .. round] = nil
  watch:confirm(name .. ": the changes to be lost", mesh:publish_config(), new, old,
                "key-old-" .. round)
  local drains_first = round % 2 == 0 and mesh.vms[2] or nil
  if drains_first then
    watch:drain(drains_first)
  end
  watch:probe_for(math.random(1500, 4000))

  mesh.is_down = true
  mesh:control_store("mode?mode=down")
  local down_ms = now_ms()
  watch:probe_for(DOWN_MS - 150)
  sleep_ms(math.max(0, DOWN_MS - (now_ms() - down_ms)))
  mesh:control_store("restore?raise_era=1&ago_ms=" .. (now_ms() - copy_ms))
  mesh:control_store("mode?mode=up")
  mesh.is_down = false

  watch:probe_for(math.random(0, 1200))
  local drains_later = mesh.vms[round == 1 and 1 or 4]
  watch:drain(drains_later)
  watch:probe_for(math.random(0, 800))
  if math.random(2) == 1 then
    mesh:put("op/config", mesh.config) -- the lost document, as it was
    watch:probe_for(math.random(0, 600))
  end
  mesh.routes[next_route] = "service-a"
  watch:confirm(name .. ": a new route after the restore", mesh:publish_config(), next_route)
  watch:probe_for(DRAIN_BOUND_MS + 1500)
  watch:check_drained(drains_later)
  if drains_first then
    watch:check_drained(drains_first)
  end
  local status = mesh:status(mesh.vms[1])
  print(name .. ": era " .. tostring(status.era) .. ", revision " .. tostring(status.revision) ..
        ", answers " .. encode(watch.statuses):gsub("%s+", " "))
end

local faults = {}
local function run(title, options)
  options.domains, options.vms, options.services = 3, 2, { "service-a", "service-b" }
  options.backend = { "--log-runs" }
  local mesh = new_store_mesh(options)
  mesh.routes = { ["/kept-a/"] = "service-a", ["/kept-b/"] = "service-b" }
  mesh.keys = { ["key-kept"] = true }
  print(title .. ": ready after " .. mesh:start() .. " ms")
  local watch = setmetatable({ mesh = mesh, faults = {}, statuses = {}, removed = {}, withdrawn = {},
                               confirmed = { ["/kept-a/"] = true, ["/kept-b/"] = true } }, Watch)
  for round = 1, ROUNDS do
    run_round(watch, round)
  end
  mesh:stop()
  for text, count in pairs(watch.faults) do
    faults[#faults + 1] = title .. ": " .. text .. " (" .. count .. " times)"
  end
end

run("with an era", { net = 105, prefix = "e-", era = 3 })
run("without an era", { net = 115, prefix = "n-" })
table.sort(faults)
check(#faults == 0, "faults:\n" .. table.concat(faults, "\n"))
