/// \brief geraniumpind: the node process that runs on the VM of each backend server.

#include "../platform/users_interface.hpp"
#include "../src/adapters/process/node_process.hpp"
#include "../src/adapters/process/settings_json.hpp"

#include <CLI/CLI.hpp>
#include <iostream>

namespace {

constexpr int kExitBadSettings = 2;

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app("geraniumpind: a node of the geraniumpin mesh");
  std::string path;
  bool checkOnly = false;
  app.add_option("--config", path, "settings file (JSON)")->required();
  app.add_flag("--check", checkOnly, "check the settings and exit: 0 valid, 2 invalid");
  app.set_version_flag("--version", std::string("geraniumpind ") + GERANIUMPIN_VERSION);
  CLI11_PARSE(app, aCount, aArguments);

  const auto text = geraniumpin::ReadFile(path);
  if (!text) {
    std::cerr << path << ": cannot be read\n";
    return kExitBadSettings;
  }
  const auto settings = geraniumpin::ParseSettings(path, *text);
  if (!settings) {
    for (const auto& fault : settings.error()) {
      std::cerr << geraniumpin::ToString(fault) << "\n";
    }
    return kExitBadSettings;
  }
  if (checkOnly) {
    std::cout << path << ": good\n";
    return 0;
  }
  geraniumpin::StartLogging(aArguments[0]);
  if (settings->InterfaceKind() == geraniumpin::Interface::Users) {
    geraniumpin::NodeProcess<geraniumpin::UsersInterface> process(*settings, path);
    return process.Run();
  }
  geraniumpin::NodeProcess<geraniumpin::OwnInterface> process(*settings, path);
  return process.Run();
}
