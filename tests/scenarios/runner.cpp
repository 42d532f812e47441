/// \brief Runs a failure scenario written in Lua.
///
/// Provides these functions to the script: spawn, signal, wait_exit, http, sleep_ms, now_ms,
/// encode, decode, sha256, write_file, read_file, memory_kb, processor_ms. Processes that the
/// script started are stopped by process id when it ends. The exit code is 0 if the script ran to
/// its end, 1 otherwise.

#include "../../src/adapters/connection/http_client.hpp"
#include "../../src/adapters/process/line_log.hpp"
#include "../../src/adapters/process/settings_json.hpp"
#include "../../src/adapters/process/system_clock.hpp"
#include "geraniumpin/version/digest.hpp"

#include <CLI/CLI.hpp>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <lua.hpp>
#include <nlohmann/json.hpp>
#include <sys/wait.h>
#include <unistd.h>

namespace {

using namespace geraniumpin;
using nlohmann::json;

constexpr std::chrono::milliseconds kStopTimeout{ 5000 };
constexpr std::chrono::milliseconds kRequestTimeout{ 30000 };

/// \brief Owns the processes of a scenario and the event loop that runs its requests.
class ScenarioContext
{
public:
  ScenarioContext(std::string aPrograms, std::string aLogs)
    : programs_(std::move(aPrograms))
    , logs_(std::move(aLogs))
    , client_(loop_, { std::chrono::milliseconds(4000), 64U << 20U })
  {
  }
  ~ScenarioContext() { StopAll(); }
  ScenarioContext(const ScenarioContext&) = delete;
  ScenarioContext& operator=(const ScenarioContext&) = delete;

  void Spawn(const std::string& aName, const std::vector<std::string>& aCommand)
  {
    auto path = programs_ + "/" + aCommand.front();
    if (access(path.c_str(), X_OK) != 0) {
      path = programs_ + "/tests/" + aCommand.front();
    }
    const auto log = logs_ + "/" + aName + ".log";
    const pid_t pid = fork();
    if (pid == 0) {
      std::vector<char*> arguments;
      arguments.reserve(aCommand.size() + 1);
      for (const auto& argument : aCommand) {
        arguments.push_back(const_cast<char*>(argument.c_str()));
      }
      arguments.push_back(nullptr);
      const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(fd, STDERR_FILENO);
      dup2(fd, STDOUT_FILENO);
      execv(path.c_str(), arguments.data());
      _exit(127);
    }
    processes_[aName] = pid;
  }

  void Signal(const std::string& aName, int aSignal) { kill(processes_.at(aName), aSignal); }

  /// \returns The exit code, 128 plus the signal, or -1 if the process still runs.
  int WaitExit(const std::string& aName, std::chrono::milliseconds aTimeout)
  {
    const auto end = clock_.Now() + aTimeout;
    const auto pid = processes_.at(aName);
    while (true) {
      int status = 0;
      if (waitpid(pid, &status, WNOHANG) == pid) {
        processes_.erase(aName);
        return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
      }
      if (clock_.Now() >= end) {
        return -1;
      }
      Sleep(std::chrono::milliseconds(10));
    }
  }

  [[nodiscard]] pid_t FindPid(const std::string& aName) const { return processes_.at(aName); }

  HttpResult Request(const NodeAddress& aAddress, const HttpRequest& aRequest)
  {
    std::unique_ptr<HttpResult> result;
    const auto end = clock_.Now() + kRequestTimeout;
    const auto id = client_.Start(aAddress, aRequest, {}, [&](const HttpResult& aResult) {
      result = std::make_unique<HttpResult>(aResult);
    });
    while (!result && clock_.Now() < end) {
      loop_.RunOnce(end);
    }
    if (!result) {
      client_.Cancel(id);
      return { .outcome_ = HttpOutcome::Broken, .response_ = {} };
    }
    return *result;
  }

  void Sleep(std::chrono::milliseconds aTime)
  {
    const auto end = clock_.Now() + aTime;
    while (clock_.Now() < end) {
      loop_.RunOnce(end);
    }
  }

  [[nodiscard]] std::int64_t NowMs() const
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock_.Now().time_since_epoch())
      .count();
  }

  void StopAll()
  {
    for (const auto& [name, pid] : processes_) {
      kill(pid, SIGCONT);
      kill(pid, SIGTERM);
    }
    const auto names = processes_;
    for (const auto& [name, pid] : names) {
      if (WaitExit(name, kStopTimeout) == -1) {
        kill(pid, SIGKILL);
        (void)WaitExit(name, kStopTimeout);
      }
    }
  }

private:
  std::string programs_;
  std::string logs_;
  SystemClock clock_;
  EventLoop loop_;
  HttpClient client_;
  std::map<std::string, pid_t> processes_;
};

ScenarioContext&
GetContext(lua_State* aLua)
{
  return **static_cast<ScenarioContext**>(lua_getextraspace(aLua));
}

std::string
CheckString(lua_State* aLua, int aIndex)
{
  std::size_t length = 0;
  const auto* text = luaL_checklstring(aLua, aIndex, &length);
  return { text, length };
}

json
ToJson(lua_State* aLua, int aIndex)
{
  const int index = lua_absindex(aLua, aIndex);
  switch (lua_type(aLua, index)) {
    case LUA_TBOOLEAN:
      return lua_toboolean(aLua, index) != 0;
    case LUA_TNUMBER:
      return lua_isinteger(aLua, index) != 0 ? json(lua_tointeger(aLua, index))
                                             : json(lua_tonumber(aLua, index));
    case LUA_TSTRING:
      return CheckString(aLua, index);
    case LUA_TTABLE:
      break;
    default:
      return nullptr;
  }
  // A table without string keys becomes an array, also if it is empty.
  const auto length = static_cast<lua_Integer>(lua_rawlen(aLua, index));
  json array = json::array();
  for (lua_Integer i = 1; i <= length; ++i) {
    lua_rawgeti(aLua, index, i);
    array.push_back(ToJson(aLua, -1));
    lua_pop(aLua, 1);
  }
  json object = json::object();
  lua_pushnil(aLua);
  while (lua_next(aLua, index) != 0) {
    if (lua_type(aLua, -2) == LUA_TSTRING) {
      object[CheckString(aLua, -2)] = ToJson(aLua, -1);
    }
    lua_pop(aLua, 1);
  }
  return object.empty() ? array : object;
}

void
PushJson(lua_State* aLua, const json& aValue)
{
  if (aValue.is_boolean()) {
    lua_pushboolean(aLua, aValue.get<bool>() ? 1 : 0);
  } else if (aValue.is_number_integer()) {
    lua_pushinteger(aLua, aValue.get<lua_Integer>());
  } else if (aValue.is_number()) {
    lua_pushnumber(aLua, aValue.get<double>());
  } else if (aValue.is_string()) {
    const auto& text = aValue.get_ref<const std::string&>();
    lua_pushlstring(aLua, text.data(), text.size());
  } else if (aValue.is_structured()) {
    lua_newtable(aLua);
    lua_Integer index = 1;
    for (const auto& [key, item] : aValue.items()) {
      PushJson(aLua, item);
      if (aValue.is_array()) {
        lua_rawseti(aLua, -2, index++);
      } else {
        lua_setfield(aLua, -2, key.c_str());
      }
    }
  } else {
    lua_pushnil(aLua);
  }
}

int
LuaSpawn(lua_State* aLua)
{
  GetContext(aLua).Spawn(CheckString(aLua, 1), ToJson(aLua, 2).get<std::vector<std::string>>());
  return 0;
}

int
LuaSignal(lua_State* aLua)
{
  static const std::map<std::string, int> kSignals{
    { "KILL", SIGKILL }, { "TERM", SIGTERM }, { "HUP", SIGHUP },
    { "STOP", SIGSTOP }, { "CONT", SIGCONT },
  };
  GetContext(aLua).Signal(CheckString(aLua, 1), kSignals.at(CheckString(aLua, 2)));
  return 0;
}

int
LuaWaitExit(lua_State* aLua)
{
  const std::chrono::milliseconds time(luaL_checkinteger(aLua, 2));
  lua_pushinteger(aLua, GetContext(aLua).WaitExit(CheckString(aLua, 1), time));
  return 1;
}

/// http{method=, address=, host=, path=, headers={}, body=} returns {status, body, headers}; the
/// status is 0 if no complete response came. Without a host, the address is sent.
int
LuaHttp(lua_State* aLua)
{
  const auto arguments = ToJson(aLua, 1);
  HeaderFields headers;
  const auto headerValues = arguments.value("headers", json::object());
  for (const auto& [name, value] : headerValues.items()) {
    headers.push_back({ name, value.get<std::string>() });
  }
  const HttpRequest request{ .method_ = arguments.value("method", "GET"),
                             .host_ = arguments.value("host", ""),
                             .path_ = arguments.value("path", "/"),
                             .headers_ = headers,
                             .body_ = MakeBody(arguments.value("body", "")) };
  const auto address = NodeAddress::Parse(arguments.at("address").get<std::string>());
  const auto result = GetContext(aLua).Request(address.value(), request);
  json fields = json::object();
  for (const auto& field : result.response_.headers_) {
    fields[field.name_] = field.value_;
  }
  PushJson(aLua,
           { { "status", result.outcome_ == HttpOutcome::Complete ? result.response_.status_ : 0 },
             { "body", result.response_.body_ ? *result.response_.body_ : "" },
             { "headers", fields } });
  return 1;
}

int
LuaSleepMs(lua_State* aLua)
{
  GetContext(aLua).Sleep(std::chrono::milliseconds(luaL_checkinteger(aLua, 1)));
  return 0;
}

int
LuaNowMs(lua_State* aLua)
{
  lua_pushinteger(aLua, GetContext(aLua).NowMs());
  return 1;
}

int
LuaEncode(lua_State* aLua)
{
  const auto text = ToJson(aLua, 1).dump(1);
  lua_pushlstring(aLua, text.data(), text.size());
  return 1;
}

int
LuaDecode(lua_State* aLua)
{
  PushJson(aLua, json::parse(CheckString(aLua, 1), nullptr, false));
  return 1;
}

int
LuaSha256(lua_State* aLua)
{
  const auto hex = Digest::Compute(CheckString(aLua, 1)).Hex();
  lua_pushlstring(aLua, hex.data(), hex.size());
  return 1;
}

int
LuaWriteFile(lua_State* aLua)
{
  std::ofstream(CheckString(aLua, 1)) << CheckString(aLua, 2);
  return 0;
}

int
LuaReadFile(lua_State* aLua)
{
  const auto text = ReadFile(CheckString(aLua, 1)).value_or("");
  lua_pushlstring(aLua, text.data(), text.size());
  return 1;
}

/// Pushes a field of /proc/PID/status; 0 if there is none.
int
PushStatusField(lua_State* aLua, const std::string& aField)
{
  std::ifstream file("/proc/" + std::to_string(GetContext(aLua).FindPid(CheckString(aLua, 1))) +
                     "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with(aField)) {
      lua_pushinteger(aLua, std::stoll(line.substr(aField.size())));
      return 1;
    }
  }
  lua_pushinteger(aLua, 0);
  return 1;
}

/// memory_kb(name) returns the resident memory of a process, peak_memory_kb(name) its highest
/// value, open_descriptors(name) the number of its descriptors, processor_ms(name) its processor
/// time.
int
LuaMemoryKb(lua_State* aLua)
{
  return PushStatusField(aLua, "VmRSS:");
}

int
LuaPeakMemoryKb(lua_State* aLua)
{
  return PushStatusField(aLua, "VmHWM:");
}

int
LuaOpenDescriptors(lua_State* aLua)
{
  const auto pid = GetContext(aLua).FindPid(CheckString(aLua, 1));
  const std::filesystem::directory_iterator descriptors("/proc/" + std::to_string(pid) + "/fd");
  lua_pushinteger(aLua, std::distance(begin(descriptors), end(descriptors)));
  return 1;
}

int
LuaProcessorMs(lua_State* aLua)
{
  std::ifstream file("/proc/" + std::to_string(GetContext(aLua).FindPid(CheckString(aLua, 1))) +
                     "/stat");
  std::string statField;
  constexpr int kFieldsBeforeUserTime = 13;
  for (int i = 0; i < kFieldsBeforeUserTime; ++i) {
    file >> statField;
  }
  lua_Integer user = 0;
  lua_Integer system = 0;
  file >> user >> system;
  lua_pushinteger(aLua, (user + system) * 1000 / sysconf(_SC_CLK_TCK));
  return 1;
}

/// Converts C++ exceptions of a function into Lua errors.
template<int (*Function)(lua_State*)>
int
ConvertExceptions(lua_State* aLua)
{
  std::string error;
  try {
    return Function(aLua);
  } catch (const std::exception& exception) {
    error = exception.what();
  }
  return luaL_error(aLua, "%s", error.c_str());
}

void
RegisterFunctions(lua_State* aLua)
{
  lua_register(aLua, "spawn", ConvertExceptions<LuaSpawn>);
  lua_register(aLua, "signal", ConvertExceptions<LuaSignal>);
  lua_register(aLua, "wait_exit", ConvertExceptions<LuaWaitExit>);
  lua_register(aLua, "http", ConvertExceptions<LuaHttp>);
  lua_register(aLua, "sleep_ms", ConvertExceptions<LuaSleepMs>);
  lua_register(aLua, "now_ms", ConvertExceptions<LuaNowMs>);
  lua_register(aLua, "encode", ConvertExceptions<LuaEncode>);
  lua_register(aLua, "decode", ConvertExceptions<LuaDecode>);
  lua_register(aLua, "sha256", ConvertExceptions<LuaSha256>);
  lua_register(aLua, "write_file", ConvertExceptions<LuaWriteFile>);
  lua_register(aLua, "read_file", ConvertExceptions<LuaReadFile>);
  lua_register(aLua, "memory_kb", ConvertExceptions<LuaMemoryKb>);
  lua_register(aLua, "peak_memory_kb", ConvertExceptions<LuaPeakMemoryKb>);
  lua_register(aLua, "open_descriptors", ConvertExceptions<LuaOpenDescriptors>);
  lua_register(aLua, "processor_ms", ConvertExceptions<LuaProcessorMs>);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app("runs a failure scenario");
  std::string script;
  std::string programs = ".";
  std::string library = ".";
  lua_Integer seed = 1;
  app.add_option("script", script)->required();
  app.add_option("--programs", programs, "folder of the built programs");
  app.add_option("--library", library, "folder of the scenario library");
  app.add_option("--seed", seed, "seed of the scenario's random choices");
  CLI11_PARSE(app, aCount, aArguments);

  StartLogging(aArguments[0]);
  std::string logs = programs + "/scenario-XXXXXX";
  if (mkdtemp(logs.data()) == nullptr) {
    std::cerr << "cannot create a folder for logs in " << programs << "\n";
    return 1;
  }
  ScenarioContext context(programs, logs);
  lua_State* lua = luaL_newstate();
  *static_cast<ScenarioContext**>(lua_getextraspace(lua)) = &context;
  luaL_openlibs(lua);
  RegisterFunctions(lua);
  lua_pushinteger(lua, seed);
  lua_setglobal(lua, "SEED");
  lua_pushstring(lua, logs.c_str());
  lua_setglobal(lua, "LOGS");
  lua_pushstring(lua, library.c_str());
  lua_setglobal(lua, "LIBRARY");
  const bool failed = luaL_dofile(lua, script.c_str()) != LUA_OK;
  if (failed) {
    std::cerr << "FAILED seed " << seed << " logs " << logs << ": " << lua_tostring(lua, -1)
              << "\n";
  }
  lua_close(lua);
  return failed ? 1 : 0;
}
