-- Library of the soak: a schedule of random faults, their execution on real processes, and checks of
-- what callers and backend servers saw. The schedule depends on the seed, the number of steps and the
-- size alone.

local TICK_MS = 20
local CONTACT_MS = 3000     -- a node is without fault if it had no unplanned fault for this long
local LOSS_SLACK_MS = 200   -- a request that crosses the close of its connection ends earlier
local STOP_SLACK_MS = 1000  -- beyond the drain timeout
local STOP_WORK_MS = 500    -- after its caller left, no request starts at a backend server

local ITEM_PERIOD_MS = 200  -- between writes of an item that no node reads

local APPLY_BOUND_MS = 2000 -- a version is in force this long after its publication

local EXIT_BY_SIGTERM = 143 -- of a process that has not begun to handle signals

local Soak = {}
Soak.__index = Soak

-- Kinds of faults with their weights. A stop, a reload and new versions are planned.
local WEIGHTS = {
  { "stop", 5 }, { "stops", 2 }, { "stop_hanging", 2 }, { "reload", 3 }, { "versions", 3 },
  { "evacuate", 1 },
  { "kill", 2 }, { "pause", 2 }, { "cut", 1 }, { "reset", 1 }, { "delay", 1 }, { "platform", 2 },
  { "hang", 3 }, { "slow", 2 }, { "refuse", 2 }, { "kill_backend", 1 }, { "pause_backend", 2 },
  { "restore", 1 },
}

-- Returns the weights, without restores of the platform for seeds whose schedule is to stay as it was
-- before there were any. without: set of these seeds
local function choose_weights(weights, without)
  local chosen = {}
  for _, entry in ipairs(weights) do
    if entry[1] ~= "restore" or not (without or {})[SEED] then
      table.insert(chosen, entry)
    end
  end
  return chosen
end

local function draw_kind(weights)
  local total = 0
  for _, entry in ipairs(weights) do
    total = total + entry[2]
  end
  local drawn = math.random(1, total)
  for _, entry in ipairs(weights) do
    drawn = drawn - entry[2]
    if drawn <= 0 then
      return entry[1]
    end
  end
end

-- options: steps, vms (of each failure domain), weights (of the faults, by default WEIGHTS),
-- without_restore (set of the seeds without restores of the platform)
function new_soak(mesh, options)
  math.randomseed(SEED)
  local soak = setmetatable({ mesh = mesh, queue = {}, plan = {}, disturbed = {}, stops = {},
                              evacuated = {}, highest = {}, failures = {}, away = 0,
                              began_at = now_ms(), next_item_at = 0 }, Soak)
  local weights = choose_weights(options.weights or WEIGHTS, options.without_restore)
  local at = 2000
  for _ = 1, options.steps do
    at = at + math.random(100, 1100)
    table.insert(soak.plan, {
      at = at, kind = draw_kind(weights), domain = math.random(1, 3), index = math.random(2, options.vms),
      other_domain = math.random(1, 3), duration = math.random(300, 4000),
      restart_ms = math.random(0, 1500), number = math.random(1, 1000000),
    })
  end
  soak.duration_ms = at + 4000
  -- A restore beside no other fault, so that what is written after it is always checked.
  for _, entry in ipairs(weights) do
    if entry[1] == "restore" then
      soak.last_restore = { number = math.random(1, 1000000), age_ms = math.random(4000, 8000) }
    end
  end
  for _, vm in ipairs(mesh.vms) do
    vm.state, vm.incarnation, vm.drain_ms = "up", 1, mesh:settings(vm).drain_timeout_ms
  end
  return soak
end

function Soak:fail(message)
  print("FAILURE " .. message)
  table.insert(self.failures, message)
end

function Soak:after(ms, action)
  table.insert(self.queue, { at = now_ms() + ms, action = action })
end

-- Records an unplanned fault of a VM; returns a function that ends it.
function Soak:disturb(vm)
  local span = { vm = vm, from = now_ms(), to = math.huge }
  table.insert(self.disturbed, span)
  return function() span.to = now_ms() end
end

-- Returns true if a VM had no unplanned fault between two times, nor shortly before.
function Soak:is_calm(vm, from, to)
  for _, span in ipairs(self.disturbed) do
    if span.vm == vm and span.from <= to and span.to >= from - CONTACT_MS then
      return false
    end
  end
  return true
end

-- Returns true if the backend server of a VM was paused at a time.
function Soak:was_paused(vm, at)
  for _, pause in ipairs(vm.backend_pauses or {}) do
    if pause.from <= at and pause.to >= at then
      return true
    end
  end
  return false
end

function Soak:vm_of(step)
  return self.mesh:vm("vm-" .. step.domain .. "-" .. step.index)
end

-- Counts the processes of a node that began to serve.
local function count_starts(vm)
  local _, count = read_file(LOGS .. "/" .. vm.name .. ".log"):gsub("event=node_start", "")
  return count
end

function Soak:start_node(vm, ends_fault)
  vm.starts_before = count_starts(vm)
  vm.incarnation = vm.incarnation + 1
  self.mesh:start_node(vm)
  vm.state, vm.started_at = "up", now_ms()
  vm.drain_ms = self.mesh:settings(vm).drain_timeout_ms
  if ends_fault then
    ends_fault()
  end
end

function Soak:publish(timeout_extra_ms)
  local document = self.mesh:make_document()
  document.routes[1].timeout_ms = document.routes[1].timeout_ms + (timeout_extra_ms or 0)
  for _, domain in ipairs(document.failure_domains) do
    domain.in_service = not self.evacuated[domain.name]
  end
  self.mesh:publish(document)
end

local faults = {}

function faults.stop(soak, step, vm)
  vm = vm or soak:vm_of(step)
  if vm.state ~= "up" then
    return "skipped"
  end
  signal(vm.name, "TERM")
  vm.state, vm.stopped_at, vm.restart_ms = "stopping", now_ms(), step.restart_ms
  table.insert(soak.stops, { vm = vm, at = vm.stopped_at })
end

-- Stops several nodes, one shortly after the other.
function faults.stops(soak, step)
  for i = 0, 2 do
    local vm = soak.mesh:vm("vm-" .. (step.domain + i - 1) % 3 + 1 .. "-" .. step.index)
    soak:after(i * (step.number % 400), function() faults.stop(soak, step, vm) end)
  end
end

function faults.reload(soak, step)
  local vm = soak:vm_of(step)
  if vm.state ~= "up" then
    return "skipped"
  end
  local settings = soak.mesh:settings(vm)
  settings.drain_timeout_ms = settings.drain_timeout_ms + step.number % 1000
  local file = LOGS .. "/" .. vm.name .. ".json"
  write_file(file .. ".new", encode(settings))
  check(os.rename(file .. ".new", file)) -- a node that starts must not read half of the file
  vm.drain_ms = math.max(vm.drain_ms, settings.drain_timeout_ms)
  signal(vm.name, "HUP")
end

function faults.versions(soak, step)
  for i = 0, step.number % 12 do
    soak:after(i * (step.number % 150), function() soak:publish(step.number % 100 + i) end)
  end
end

function faults.evacuate(soak, step)
  local name = "zone-" .. step.domain
  soak.evacuated[name] = true
  soak:publish()
  soak:after(step.duration, function()
    soak.evacuated[name] = nil
    soak:publish()
  end)
end

function faults.kill(soak, step)
  local vm = soak:vm_of(step)
  if vm.state == "down" then
    return "skipped"
  end
  local ends_fault = soak:disturb(vm)
  signal(vm.name, "KILL")
  wait_exit(vm.name, 5000)
  vm.state = "down"
  soak:after(step.restart_ms, function() soak:start_node(vm, ends_fault) end)
end

function faults.pause(soak, step)
  local vm = soak:vm_of(step)
  if vm.state == "down" then
    return "skipped"
  end
  local ends_fault, incarnation = soak:disturb(vm), vm.incarnation
  vm.paused = (vm.paused or 0) + 1
  signal(vm.name, "STOP")
  soak:after(step.duration, function()
    vm.paused = vm.paused - 1
    if vm.incarnation == incarnation and vm.state ~= "down" and vm.paused == 0 then
      signal(vm.name, "CONT")
    end
    ends_fault()
  end)
end

-- Cuts the traffic between a node, or its failure domain, and a failure domain, in one direction in
-- half of the cases.
function faults.cut(soak, step)
  local mesh = soak.mesh
  local whole_domain = step.number % 4 < 2
  local first = whole_domain and mesh:address_prefix(step.domain) or soak:vm_of(step).ip
  local second = mesh:address_prefix(step.other_domain)
  local one_way = step.number % 2 == 0
  local ends = {}
  for _, vm in ipairs(mesh.vms) do
    if vm.ip:find(first, 1, true) == 1 or vm.ip:find(second, 1, true) == 1 then
      table.insert(ends, soak:disturb(vm))
    end
  end
  mesh:set_partition(true, first, second, one_way)
  soak:after(step.duration, function()
    mesh:set_partition(false, first, second, one_way)
    for _, ends_fault in ipairs(ends) do
      ends_fault()
    end
  end)
end

-- Resets the connections between two nodes.
function faults.reset(soak, step)
  local first = soak:vm_of(step)
  local second = soak.mesh:vm("vm-" .. step.other_domain .. "-" .. step.index)
  soak:disturb(first)()
  soak:disturb(second)()
  soak.mesh:reset_connections(first.ip, second.ip)
end

-- Delays the traffic from a node to a failure domain.
function faults.delay(soak, step)
  local mesh, vm = soak.mesh, soak:vm_of(step)
  local target = mesh:address_prefix(step.other_domain)
  local ends_fault = soak:disturb(vm)
  mesh:set_delay(vm.ip, target, 20 + step.number % 400)
  soak:after(step.duration, function()
    mesh:set_delay(vm.ip, target, 0)
    ends_fault()
  end)
end

-- Lowers the rate of what a node receives, below what its settings state.
function faults.narrow(soak, step)
  local mesh, vm = soak.mesh, soak:vm_of(step)
  local ends_fault = soak:disturb(vm)
  vm.narrow = (vm.narrow or 0) + 1
  mesh:set_rate(vm.ip, 1 + step.number % 4)
  soak:after(step.duration, function()
    vm.narrow = vm.narrow - 1
    if vm.narrow == 0 then
      mesh:set_rate(vm.ip, mesh.options.link_mbps or 0)
    end
    ends_fault()
  end)
end

function faults.platform(soak, step)
  local mode = ({ "down", "slow", "stale" })[step.number % 3 + 1]
  soak.platform_step = step
  soak.mesh:control("mode?mode=" .. mode)
  soak:after(step.duration, function()
    if soak.platform_step == step then
      soak.platform_step, soak.platform_ended_at = nil, now_ms()
      if soak.away == 0 then
        soak.mesh:control("mode?mode=up")
      end
    end
  end)
  return mode
end

-- Kills all nodes but those without faults at the same time.
function faults.herd(soak, step)
  for _, vm in ipairs(soak.mesh.vms) do
    local domain, index = vm.name:match("^vm%-(%d+)%-(%d+)$")
    if index ~= "1" then
      faults.kill(soak, { domain = domain, index = index, restart_ms = step.restart_ms })
    end
  end
end

-- The platform loses all reads for some time; after its return it publishes a storm of versions.
function faults.silence(soak, step)
  if soak.silent_since then
    return "skipped"
  end
  soak.silent_since = now_ms()
  soak.mesh:control("mode?mode=silent")
  soak:after(500 + 2 * step.duration, function()
    if soak.away == 0 then
      soak.mesh:control("mode?mode=up")
    end
    soak.silent_since, soak.silence_ended_at = nil, now_ms()
    soak:publish_storm(step.number % 6, step.number % 100)
  end)
end

-- Publishes versions shortly after each other, and checks that they come into force.
function Soak:publish_storm(last, timeout_extra_ms)
  for i = 0, last do
    self:after(i * 260, function()
      self:publish(timeout_extra_ms + i)
      self:expect_applied()
    end)
  end
end

-- Checks after the bound that the version that was just written is in force.
function Soak:expect_applied()
  local version, published_at = self.mesh.version, now_ms()
  self:after(APPLY_BOUND_MS, function() self:check_applied(version, published_at) end)
end

-- Writes an item that is no configuration from time to time, as servers do. A copy of the platform is
-- then behind by a number of revisions that grows with its age.
function Soak:write_items()
  if now_ms() < self.next_item_at then
    return
  end
  self.next_item_at = now_ms() + ITEM_PERIOD_MS
  if self.away == 0 and not self.silent_since then
    self.mesh:control("item?key=note", "")
  end
end

-- The platform is away shortly after a version, then comes back from an older copy. The operators write
-- their newest document again, then new versions.
function faults.restore(soak, step)
  soak:publish(step.number % 100)
  soak:after(step.number // 17 % 600, function() soak:restore_platform(step) end)
end

function Soak:restore_platform(step)
  local soak = self
  local number = step.number
  local away_ms, rewrite_ms = 200 + number % 1301, 200 + number // 11 % 1801
  local age_ms, loses_reads = step.age_ms or 500 + number // 7 % 7501, number // 13 % 2 == 0
  soak.away = soak.away + 1
  soak.mesh:control("mode?mode=" .. (loses_reads and "silent" or "down"))
  soak:after(away_ms, function()
    -- A copy from before the first document would be no mesh.
    age_ms = math.min(age_ms, now_ms() - soak.began_at)
    local revision = soak.mesh:control(
      "restore?ms=" .. age_ms .. "&reads=" .. (loses_reads and "lost" or "failed")).body
    if loses_reads then
      soak.mesh:reset_connections("", "127." .. soak.mesh.base .. ".1.")
    end
    soak.away, soak.restored_at = soak.away - 1, now_ms()
    soak.next_item_at = now_ms() + number // 19 % 4001 -- the servers back off, too
    soak.mesh:control("mode?mode=" .. ((soak.silent_since or soak.away > 0) and "silent" or "up"))
    print(now_ms() .. " restored a copy of " .. age_ms .. " ms, revision " .. revision)
    for i = 1, 5 do
      soak:after(i * 200, function() soak:check_versions() end)
    end
    soak:after(rewrite_ms, function()
      soak.mesh:publish(soak.mesh.document, soak.mesh.version)
      soak:expect_applied()
      print(now_ms() .. " wrote version " .. soak.mesh.version .. " again")
      soak:after(100 + number % 700, function() soak:publish_storm(number % 4, number % 100) end)
    end)
  end)
  print(now_ms() .. " away for " .. away_ms .. " ms, reads are " ..
        (loses_reads and "lost" or "failed"))
end

-- Each node that was without fault runs the version, unless the platform had a fault since or came back
-- from a copy; the operators' next write has its own check.
function Soak:check_applied(version, published_at)
  local has_fault = self.silent_since or self.platform_step or self.away > 0
  local ended_at = math.max(self.silence_ended_at or 0, self.platform_ended_at or 0,
                            self.restored_at or 0)
  if has_fault or ended_at > published_at then
    return
  end
  self.checks = (self.checks or 0) + 1
  for _, vm in ipairs(self.mesh.vms) do
    local settled = (vm.started_at or 0) < published_at - CONTACT_MS
    local calm = vm.state == "up" and (vm.paused or 0) == 0 and settled and
                 self:is_calm(vm, published_at, now_ms())
    local status = calm and self.mesh:status(vm)
    if status and status.version < version then
      self:fail("CONFIG " .. vm.name .. " runs " .. status.version .. " and not " .. version .. ", " ..
                now_ms() - published_at .. " ms after its publication")
    end
  end
end

-- Changes a backend server for some time. Requests under way when it recovers are not resumed.
local function control_backend(on, off)
  return function(soak, step)
    local vm = soak:vm_of(step)
    if vm.backend_fault then
      return "skipped"
    end
    vm.backend_fault = true
    on(vm)
    soak:after(step.duration, function()
      off(vm, soak.mesh)
      vm.backend_fault = nil
    end)
  end
end

local function control(path)
  return function(vm) http{ address = vm.backend, path = "/control/" .. path } end
end

faults.hang = control_backend(control("hang?on=true"), control("hang?on=false"))
faults.slow = control_backend(control("slow?factor=40"), control("slow?factor=1"))
faults.refuse = control_backend(control("drain?on=true"), control("drain?on=false"))
faults.pause_backend = control_backend(
  function(vm)
    signal("backend-" .. vm.name, "STOP")
    vm.backend_pauses = vm.backend_pauses or {}
    table.insert(vm.backend_pauses, { from = now_ms(), to = math.huge })
  end,
  function(vm)
    signal("backend-" .. vm.name, "CONT")
    vm.backend_pauses[#vm.backend_pauses].to = now_ms()
  end)
faults.kill_backend = control_backend(
  function(vm)
    signal("backend-" .. vm.name, "KILL")
    wait_exit("backend-" .. vm.name, 5000)
  end,
  function(vm, mesh) mesh:start_backend(vm) end)

-- Stops a node; backend servers hang from a time on at which it still takes requests, to its end.
function faults.stop_hanging(soak, step)
  local note = faults.stop(soak, step)
  soak:after(step.number % 2500, function()
    for domain = 1, 3 do
      faults.hang(soak, { domain = domain, index = step.index, duration = 3000 + step.duration })
    end
  end)
  return note
end

-- Follows planned stops; a node that ends otherwise ended by itself.
function Soak:watch_processes()
  for _, vm in ipairs(self.mesh.vms) do
    local code = vm.state ~= "down" and wait_exit(vm.name, 0) or -1
    if vm.state == "stopping" then
      local bound = vm.drain_ms + STOP_SLACK_MS
      local late = now_ms() - vm.stopped_at > bound and self:is_calm(vm, vm.stopped_at, now_ms())
      if late and not vm.stop_reported then
        vm.stop_reported = true
        self:fail(vm.name .. " still runs " .. bound .. " ms after SIGTERM")
      end
    end
    if code >= 0 then
      local planned = vm.state == "stopping" and
                      (code == 0 or code == 3 or
                       code == EXIT_BY_SIGTERM and count_starts(vm) == vm.starts_before)
      if not planned then
        self:fail(vm.name .. " ended by itself with " .. code)
      end
      print(vm.name .. " ended with " .. code ..
            (planned and " " .. now_ms() - vm.stopped_at .. " ms after SIGTERM" or ""))
      vm.state, vm.stop_reported = "down", nil
      self:after(vm.restart_ms or 0, function() self:start_node(vm) end)
    end
  end
end

-- In one lifetime of a process, its version never decreases, nor does its era within a version, nor its
-- revision within an era.
function Soak:check_versions()
  for _, vm in ipairs(self.mesh.vms) do
    local status = vm.state == "up" and (vm.paused or 0) == 0 and self.mesh:status(vm)
    if status then
      local lifetime = vm.name .. "/" .. math.tointeger(status.incarnation)
      local number = { status.version, status.era or 0, status.revision }
      local highest = self.highest[lifetime] or { 0, 0, 0 }
      for i = 1, #number do
        if number[i] < highest[i] then
          self:fail(vm.name .. " went back from " .. table.concat(highest, "/") .. " to version " ..
                    table.concat(number, "/"))
        end
        if number[i] ~= highest[i] then
          break
        end
      end
      self.highest[lifetime] = number
    end
  end
end

function Soak:run_due()
  table.sort(self.queue, function(first, second) return first.at < second.at end)
  while #self.queue > 0 and self.queue[1].at <= now_ms() do
    table.remove(self.queue, 1).action()
  end
end

-- Executes the schedule, then waits until all faults have ended and all nodes run.
function Soak:run()
  local start = now_ms()
  for _, step in ipairs(self.plan) do
    table.insert(self.queue, { at = start + step.at, action = function()
      local note = faults[step.kind](self, step) or ""
      print(now_ms() .. " " .. step.kind .. " vm-" .. step.domain .. "-" .. step.index ..
            " other " .. step.other_domain .. " for " .. step.duration .. " " .. note)
      self:check_versions()
    end })
  end
  local function all_up()
    for _, vm in ipairs(self.mesh.vms) do
      if vm.state ~= "up" then
        return false
      end
    end
    return #self.queue == 0
  end
  local function run_queue()
    while not all_up() do
      self:run_due()
      self:write_items()
      self:watch_processes()
      sleep_ms(TICK_MS)
    end
  end
  run_queue()
  if self.last_restore then
    self:after(CONTACT_MS, function() faults.restore(self, self.last_restore) end)
    run_queue()
  end
end

-- Checks the ends of requests against the runs at the backend servers. ends: of all clients.
function Soak:check_requests(ends)
  local vm_of, runs = {}, {}
  for _, vm in ipairs(self.mesh.vms) do
    vm_of[vm.caller] = vm
    for _, run in ipairs(self.mesh:read_runs(vm)) do
      runs[run.tag] = runs[run.tag] or {}
      table.insert(runs[run.tag], run)
    end
  end
  local counts = { excused = 0, crossed = 0, late = 0 }
  for _, request in ipairs(ends) do
    self:check_request(request, vm_of[request.target], runs[request.tag] or {}, counts)
  end
  print("closed beside an unplanned fault: " .. counts.excused .. ", crossed the close: " ..
        counts.crossed .. ", answered over 500 ms after the timeout: " .. counts.late)
end

-- Returns when the node was stopped before a time, for messages.
function Soak:describe_stop(vm, at)
  local last
  for _, stop in ipairs(self.stops) do
    if stop.vm == vm and stop.at <= at then
      last = stop.at
    end
  end
  return last and at - last .. " ms after SIGTERM" or "no SIGTERM before"
end

function Soak:check_request(request, vm, runs, counts)
  local kind = request.kind
  local text = request.tag .. " at " .. vm.name .. ", sent " .. request.sent_ms .. ", ended " ..
               request.end_ms .. " as " .. kind .. " " .. (request.reason or "") .. ", runs " .. #runs
  local calm = self:is_calm(vm, request.sent_ms, request.end_ms)
  local lasted = request.end_ms - request.sent_ms
  if kind == "wrong" or kind == "bytes_without_request" or kind == "no_outcome" then
    self:fail("MIXED " .. text)
  elseif kind == "closed" or kind == "silent" then
    if not calm then
      counts.excused = counts.excused + 1
    elseif #runs == 0 and lasted <= LOSS_SLACK_MS then
      counts.crossed = counts.crossed + 1
    else
      self:fail("LOST " .. text .. ", " .. self:describe_stop(vm, request.end_ms))
    end
  elseif kind == "not_run" and #runs > 0 then
    self:fail("REFUSED " .. text)
  elseif kind:find("gave_up") then
    for _, run in ipairs(runs) do
      -- A paused backend server starts a request late that was sent to it in time.
      local excused = self:was_paused(run.vm, request.end_ms) or
                      not self:is_calm(vm, request.sent_ms, run.start_ms) or
                      not self:is_calm(run.vm, request.sent_ms, run.start_ms)
      if run.start_ms > request.end_ms + STOP_WORK_MS and not excused then
        self:fail("GONE " .. text .. ", started " .. run.start_ms .. " at " .. run.vm.name)
      end
    end
  end
  if request.status and calm and lasted > request.timeout_ms + STOP_WORK_MS then
    counts.late = counts.late + 1
  end
  if request.post and #runs > 1 then
    self:fail("TWICE " .. text)
  end
end

-- Returns the failures, counted by rule, and the first one.
function Soak:summary()
  local counts = {}
  for _, message in ipairs(self.failures) do
    local rule = message:match("^%S+") .. " " .. (message:match(" as (%S+)") or "")
    counts[rule] = (counts[rule] or 0) + 1
  end
  return encode(counts):gsub("%s+", " ") .. ", the first: " .. (self.failures[1] or "none")
end

-- After the faults a new version is in force, and each node answers callers again.
function Soak:check_recovery()
  self.mesh:control("mode?mode=up")
  self:publish()
  print("versions that had to be in force within " .. APPLY_BOUND_MS .. " ms: " ..
        (self.checks or 0))
  print("after the faults the last version is in force after " ..
        self.mesh:wait_version(self.mesh.version, 10000) .. " ms")
  self.mesh:wait_serving(15000)
  return now_ms()
end

-- More than a quarter of the requests that a node got after the recovery are answered.
function Soak:check_served(ends, recovered_at)
  local served, total = {}, {}
  for _, request in ipairs(ends) do
    if request.sent_ms > recovered_at + CONTACT_MS and not request.kind:find("gave_up") then
      total[request.target] = (total[request.target] or 0) + 1
      served[request.target] =
        (served[request.target] or 0) + (request.kind == "answered" and 1 or 0)
    end
  end
  for _, vm in ipairs(self.mesh.vms) do
    local count, of = served[vm.caller] or 0, total[vm.caller] or 0
    if of == 0 or count <= 0.25 * of then
      self:fail("RECOVER " .. vm.name .. " answered " .. count .. " of " .. of)
    end
  end
end

local STEPS = tonumber(os.getenv("SOAK_STEPS") or "") or 40
local VMS = tonumber(os.getenv("SOAK_VMS") or "") or 4

-- Timeout of the routes and drain timeout; the seed chooses.
local TIMEOUTS = { { 4000, 5000 }, { 2000, 10000 }, { 3000, 5000 }, { 5000, 5000 } }

-- Runs the schedule of the seed on a mesh under load and fails if a check does.
-- options: base (of the mesh), weights (of the faults, by default WEIGHTS), without_restore (set of the
-- seeds without restores of the platform), link_mbps (of each node, 0: no bound), load_per_s and
-- body_bytes (of each of the three loads)
function run_soak(options)
  local timeout_ms, drain_timeout_ms = table.unpack(TIMEOUTS[(SEED - 1) % #TIMEOUTS + 1])
  local mesh = new_mesh{ base = options.base, vms = VMS, rate = 5000, burst = 5000, relays = true,
                         timeout_ms = timeout_ms, drain_timeout_ms = drain_timeout_ms,
                         link_mbps = options.link_mbps,
                         platform = SEED // 2 % 2 == 0 and { "--era", "1" } or {},
                         backend = { "--service-us", "5000", "--log-runs" } }
  mesh.options.platform_address_of = function(vm) return mesh:platform_address(vm) end
  mesh:start()
  for _, vm in ipairs(options.link_mbps and mesh.vms or {}) do
    mesh:set_rate(vm.ip, options.link_mbps)
  end
  local load_per_s = options.load_per_s or 150
  local soak = new_soak(mesh, { steps = STEPS, vms = VMS, weights = options.weights,
                                without_restore = options.without_restore })

  -- The first VM of each failure domain gets no faults; its load tells whether the mesh serves.
  local entry_vms = { mesh:vm("vm-1-1"), mesh:vm("vm-2-1"), mesh:vm("vm-3-1") }
  for i, vm in ipairs(entry_vms) do
    mesh:start_load("load-" .. i, vm, "obra",
              { "--method", "POST", "--path", "/laudos/", "--body-bytes", options.body_bytes or 200,
                "--count", soak.duration_ms * load_per_s // 1000, "--rate", load_per_s, "--concurrency", 200,
                "--tag-prefix", "order-" .. i .. "-" })
  end
  mesh:start_clients("clients", mesh.vms, "obra",
    { "--seed", SEED, "--clients", 5, "--timeout-ms", timeout_ms, "--think-ms", 25 * VMS })

  soak:run()
  local recovered_at = soak:check_recovery()
  sleep_ms(6000)
  local ends = stop_clients("clients", 15000)
  print("clients: " .. encode(count_kinds(ends)))
  soak:check_requests(ends)
  soak:check_served(ends, recovered_at)

  local answered, total, not_run = wait_loads(3, 120000)
  local runs_by_tag = {}
  for _, vm in ipairs(mesh.vms) do
    for _, run in ipairs(mesh:read_runs(vm)) do
      runs_by_tag[run.tag] = (runs_by_tag[run.tag] or 0) + 1
    end
  end
  for tag, count in pairs(runs_by_tag) do
    check(count == 1 or not tag:find("^order"), tag .. " ran " .. count .. " times")
    check(not not_run[tag], tag .. " ran, and its caller was told that it did not")
  end
  check(answered > 0.5 * total, "only " .. answered .. " of " .. total .. " were answered")
  check(#soak.failures == 0, soak:summary())
end
