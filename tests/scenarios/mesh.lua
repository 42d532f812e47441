-- Library of the scenarios: a mesh of real processes on loopback.

Mesh = {}
Mesh.__index = Mesh

-- Fails the scenario with the message unless the condition holds.
function check(condition, message)
  if not condition then
    error(message, 2)
  end
end

-- Waits until the condition holds and returns the elapsed milliseconds; fails after the deadline.
function wait_until(what, deadline_ms, condition)
  local start = now_ms()
  while not condition() do
    if now_ms() - start > deadline_ms then
      error("not within " .. deadline_ms .. " ms: " .. what, 2)
    end
    sleep_ms(10)
  end
  return now_ms() - start
end

-- options: base (unique per scenario; fixes its loopback addresses), domains, vms (per domain),
-- relays (routes traffic through the fake network), services (assigned to the VMs round robin),
-- rate and burst (of each team), platform (further arguments of the fake platform), backend (further
-- arguments of the fake backend servers), backend_program (instead of the fake backend server),
-- max_body_bytes, memory_mb and link_mbps (of the nodes), platform_address_of (function from a VM to the address at
-- which its node reaches the platform), timeout_ms (of the keyed routes), drain_timeout_ms
function new_mesh(options)
  local mesh = setmetatable({ options = options, vms = {}, version = 0, document = nil }, Mesh)
  mesh.base = options.base * 10
  mesh.platform = "127." .. mesh.base .. ".0.1:8500"
  local services = options.services or { "arquivo", "laudos" }
  for domain = 1, options.domains or 3 do
    for index = 1, options.vms or 2 do
      local ip = "127." .. (mesh.base + domain) .. "." .. index .. ".1"
      local service = services[(index - 1) % #services + 1]
      mesh.vms[#mesh.vms + 1] = {
        name = "vm-" .. domain .. "-" .. index, domain = "zone-" .. domain, ip = ip,
        peer = ip .. ":7000", caller = ip .. ":8000", admin = ip .. ":8100",
        backend = ip .. ":9000", service = service,
        server = service .. "-" .. domain .. "-" .. index,
      }
    end
  end
  mesh.keys = { clinica = "key-of-clinica", obra = "key-of-obra" }
  return mesh
end

function Mesh:vm(name)
  for _, vm in ipairs(self.vms) do
    if vm.name == name then
      return vm
    end
  end
end

-- Returns the default document: two keyed routes and one open route.
function Mesh:make_document()
  local document = {
    version = 0, failure_domains = {}, services = {}, teams = {}, keys = {},
    routes = {
      { name = "lookup", path_prefix = "/arquivo/", methods = { "GET" }, service = "arquivo",
        access = "keyed", idempotent = true, timeout_ms = self.options.timeout_ms or 2000 },
      { name = "report", path_prefix = "/laudos/", methods = { "POST" }, service = "laudos",
        access = "keyed", idempotent = false, timeout_ms = self.options.timeout_ms or 2000 },
      { name = "public", path_prefix = "/public/", methods = { "GET" }, service = "arquivo",
        access = "open", idempotent = true, timeout_ms = 2000 },
    },
  }
  local services, domains = {}, {}
  for _, vm in ipairs(self.vms) do
    if not domains[vm.domain] then
      domains[vm.domain] = true
      table.insert(document.failure_domains, { name = vm.domain, in_service = true })
    end
    if not services[vm.service] then
      services[vm.service] = { name = vm.service, slots = 9, connections = 120,
                               backend_servers = {} }
      table.insert(document.services, services[vm.service])
    end
    table.insert(services[vm.service].backend_servers,
                 { name = vm.server, failure_domain = vm.domain, node = vm.peer })
  end
  for team, key in pairs(self.keys) do
    table.insert(document.teams, { name = team, rate_per_s = self.options.rate or 300,
                                   burst = self.options.burst or 300 })
    table.insert(document.keys, { sha256 = sha256(key), team = team })
  end
  return document
end

function Mesh:start_platform(arguments)
  local command = { "standin-platform", "--listen", self.platform }
  for _, argument in ipairs(arguments or {}) do
    table.insert(command, argument)
  end
  spawn("platform", command)
  wait_until("platform listens", 5000, function()
    return http{ address = self.platform, path = "/control/count" }.status == 200
  end)
end

function Mesh:control(path, body)
  return http{ address = self.platform, method = "PUT", path = "/control/" .. path, body = body }
end

-- Publishes the document under the given version number, or under the next one.
function Mesh:publish(document, version, query)
  self.version = version or self.version + 1
  document.version = self.version
  self.document = document
  local response = self:control("document" .. (query or ""), encode(document))
  check(response.status == 200, "the document was refused: " .. response.body)
  return self.version
end

-- Publishes the list of VMs; leaving and terminated are sets of names.
function Mesh:publish_vms(leaving, terminated)
  local vms = {}
  for _, vm in ipairs(self.vms) do
    if not (terminated or {})[vm.name] then
      table.insert(vms, { node = vm.peer, admin = vm.admin, failure_domain = vm.domain,
                          state = (leaving or {})[vm.name] and "leaving" or "live" })
    end
  end
  check(self:control("vms", encode{ vms = vms }).status == 200, "the VM list was refused")
end

-- Returns the settings of the node of a VM.
function Mesh:settings(vm)
  local seeds = {}
  for _, other in ipairs(self.vms) do
    if other ~= vm and #seeds < 4 then
      table.insert(seeds, other.peer)
    end
  end
  return {
    peer_address = vm.peer, caller_address = vm.caller, admin_address = vm.admin,
    peer_listen = self.options.relays and vm.ip .. ":7001" or nil,
    failure_domain = vm.domain, backend_server = vm.backend,
    platform = self.options.platform_address_of and self.options.platform_address_of(vm) or
               self.platform,
    seeds = #seeds > 0 and seeds or nil, peer_key = "a secret of all nodes",
    max_body_bytes = self.options.max_body_bytes or 1048576,
    memory_mb = self.options.memory_mb, link_mbps = self.options.link_mbps,
    drain_timeout_ms = self.options.drain_timeout_ms or 10000,
  }
end

function Mesh:start_node(vm)
  local file = LOGS .. "/" .. vm.name .. ".json"
  write_file(file, encode(self:settings(vm)))
  spawn(vm.name, { "geraniumpind", "--config", file })
end

function Mesh:start_backend(vm)
  local command = { self.options.backend_program or "standin-backend_server",
                    "--listen", vm.backend, "--name", vm.server }
  for _, argument in ipairs(self.options.backend or {}) do
    table.insert(command, argument)
  end
  spawn("backend-" .. vm.name, command)
end

function Mesh:start_relay()
  local command = { "standin-relay", "--control", "127." .. self.base .. ".0.1:8600" }
  for _, vm in ipairs(self.vms) do
    table.insert(command, "--link")
    table.insert(command, vm.peer .. "=" .. vm.ip .. ":7001")
  end
  local domains = {}
  for _, vm in ipairs(self.vms) do
    if not domains[vm.domain] then
      domains[vm.domain] = true
      table.insert(command, "--link")
      table.insert(command, self:platform_address(vm) .. "=" .. self.platform)
    end
  end
  spawn("relay", command)
end

-- Returns the address at which a failure domain reaches the platform if relays are in use.
function Mesh:platform_address(vm)
  return "127." .. self.base .. ".1." .. vm.domain:match("%d+") .. ":8500"
end

-- Starts all processes and waits until each node serves; returns the elapsed milliseconds of the wait.
function Mesh:start()
  self:start_platform(self.options.platform)
  self:publish(self:make_document())
  self:publish_vms()
  if self.options.relays then
    self:start_relay()
  end
  for _, vm in ipairs(self.vms) do
    self:start_backend(vm)
    self:start_node(vm)
  end
  return self:wait_serving(10000)
end

function Mesh:wait_serving(deadline_ms)
  return wait_until("all nodes serve", deadline_ms, function()
    for _, vm in ipairs(self.vms) do
      local status = self:status(vm)
      if not status or status.state ~= "serving" or not status.home_authorized then
        return false
      end
    end
    return true
  end)
end

function Mesh:status(vm)
  local response = http{ address = vm.admin, path = "/status" }
  return response.status == 200 and decode(response.body) or nil
end

function Mesh:metrics(vm)
  local response = http{ address = vm.admin, path = "/metrics" }
  return response.status == 200 and decode(response.body) or nil
end

function Mesh:counter(vm, name)
  local metrics = self:metrics(vm)
  return metrics and metrics.counters[name] or 0
end

-- Waits until all nodes, or those of the given VMs, run at least the version.
function Mesh:wait_version(version, deadline_ms, vms)
  return wait_until("version " .. version .. " in force", deadline_ms, function()
    for _, vm in ipairs(vms or self.vms) do
      local status = self:status(vm)
      if not status or status.version < version then
        return false
      end
    end
    return true
  end)
end

-- Sends one request to a node as a caller of the team.
function Mesh:call(vm, team, method, path, headers, body)
  local fields = headers or {}
  if team then
    fields["x-api-key"] = self.keys[team] or team
  end
  local response = http{ address = vm.caller, method = method, path = path, headers = fields,
                         body = body }
  response.outcome = response.headers["geraniumpin-outcome"]
  response.reason = response.headers["geraniumpin-reason"]
  response.server = response.headers["x-backend-server"]
  return response
end

-- Returns the record of the backend server of a VM.
function Mesh:read_record(vm)
  return decode(http{ address = vm.backend, path = "/control/record" }.body)
end

-- Starts a load in the background; wait_load returns its result.
function Mesh:start_load(name, vm, team, arguments)
  local command = { "standin-caller", "--target", vm.caller, "--key", self.keys[team] or team }
  for _, argument in ipairs(arguments) do
    table.insert(command, tostring(argument))
  end
  spawn(name, command)
end

function wait_load(name, deadline_ms)
  check(wait_exit(name, deadline_ms) == 0, "the load " .. name .. " did not end")
  local text = read_file(LOGS .. "/" .. name .. ".log")
  return decode(text:match("{.*}"))
end

-- Waits for the loads "load-1" to "load-COUNT"; returns the number of answered requests, the number of
-- sent requests, and the tags of requests with the outcome not_run.
function wait_loads(count, deadline_ms)
  local answered, total, not_run = 0, 0, {}
  for i = 1, count do
    local result = wait_load("load-" .. i, deadline_ms)
    print("load " .. i .. ": " .. encode(result.outcomes))
    answered = answered + (result.outcomes.answered or 0)
    total = total + result.sent
    for _, tag in ipairs(result.not_run_tags) do
      not_run[tag] = true
    end
  end
  return answered, total, not_run
end

-- Starts clients on kept connections to the nodes of the VMs; their log has one line for each request.
function Mesh:start_clients(name, vms, team, arguments)
  local command = { "standin-clients", "--key", self.keys[team] or team }
  for _, vm in ipairs(vms) do
    table.insert(command, "--target")
    table.insert(command, vm.caller)
  end
  for _, argument in ipairs(arguments) do
    table.insert(command, tostring(argument))
  end
  spawn(name, command)
end

-- Returns the ends of requests in the log of clients, each a table with the fields that they print.
function read_ends(name)
  local ends = {}
  for line in read_file(LOGS .. "/" .. name .. ".log"):gmatch("({[^\n]*\"tag\"[^\n]*})\n") do
    ends[#ends + 1] = decode(line)
  end
  return ends
end

-- Stops clients once their pending requests have ended, and returns the ends of their requests.
function stop_clients(name, deadline_ms)
  signal(name, "TERM")
  check(wait_exit(name, deadline_ms) == 0, "the clients " .. name .. " did not end")
  return read_ends(name)
end

-- Returns the runs in the log of a backend server that was started with --log-runs, in order: tables
-- with tag, start_ms, end_ms (nil while it runs, or if the process was killed) and end_kind.
function Mesh:read_runs(vm)
  local runs, open = {}, {}
  local log = read_file(LOGS .. "/backend-" .. vm.name .. ".log")
  for what, tag, ms in log:gmatch("(%a+) (%S+) (%d+)\n") do
    if what == "run" then
      open[tag] = { tag = tag, vm = vm, start_ms = tonumber(ms) }
      runs[#runs + 1] = open[tag]
    elseif open[tag] then
      open[tag].end_kind, open[tag].end_ms = what, tonumber(ms)
    end
  end
  return runs
end

-- Counts requests by the way they ended.
function count_kinds(ends)
  local kinds = {}
  for _, request in ipairs(ends) do
    local kind = request.kind .. ((request.reason or "") ~= "" and ":" .. request.reason or "")
    kinds[kind] = (kinds[kind] or 0) + 1
  end
  return kinds
end

-- Starts or ends a partition between two groups of addresses, in both directions or only for the
-- connections from the first to the second.
function Mesh:set_partition(active, first, second, one_way)
  for _, pair in ipairs(one_way and { { first, second } } or { { first, second }, { second, first } }) do
    http{ address = "127." .. self.base .. ".0.1:8600",
          path = (active and "/cut" or "/heal") .. "?from=" .. pair[1] .. "&to=" .. pair[2] }
  end
end

-- Resets the connections from the first to the second group of addresses.
function Mesh:reset_connections(first, second)
  http{ address = "127." .. self.base .. ".0.1:8600",
        path = "/reset?from=" .. first .. "&to=" .. second }
end

-- Delays the bytes of the connections from the first to the second group of addresses; 0 ends it.
function Mesh:set_delay(first, second, ms)
  http{ address = "127." .. self.base .. ".0.1:8600",
        path = "/delay?from=" .. first .. "&to=" .. second .. "&ms=" .. ms }
end

-- Bounds the rate of what the nodes at a group of addresses receive from others; 0 ends the bound.
function Mesh:set_rate(target, mbps)
  http{ address = "127." .. self.base .. ".0.1:8600", path = "/rate?to=" .. target .. "&mbps=" .. mbps }
end

-- Returns the address prefix of a failure domain, for set_partition.
function Mesh:address_prefix(domain)
  return "127." .. (self.base + domain) .. "."
end
