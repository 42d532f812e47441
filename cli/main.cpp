/// \brief geraniumpinctl: the operators' command line.

#include "commands.hpp"

#include <CLI/CLI.hpp>

int
main(int aCount, char** aArguments)
{
  using namespace geraniumpin::cli;

  CLI::App app("geraniumpinctl: check documents and inspect a geraniumpin mesh\n"
               "exit codes: 0 success, 1 condition not met, 2 bad input, 3 no answer");
  app.set_version_flag("--version", std::string("geraniumpinctl ") + GERANIUMPIN_VERSION);
  app.require_subcommand(1);
  Options options;
  app.add_flag("--json", options.json_, "print JSON");
  app.fallthrough();

  auto* validate = app.add_subcommand("validate", "check a document");
  validate->add_option("document", options.document_, "document file (JSON)")->required();

  const auto addPlatform = [&](CLI::App* aCommand) {
    aCommand->add_option("--platform", options.platform_, "platform address IP:PORT")->required();
  };
  auto* status = app.add_subcommand("status", "show version, incarnation and state of each node");
  addPlatform(status);

  auto* watch = app.add_subcommand("watch", "wait until a version is in force on every node");
  addPlatform(watch);
  watch->add_option("version", options.version_, "version number")->required();
  watch->add_option("--deadline-ms", options.deadlineMs_, "longest wait in milliseconds");

  auto* explain = app.add_subcommand("explain", "show how a node would route a request");
  explain->add_option("--node", options.admin_, "admin address of the node IP:PORT")->required();
  explain->add_option("--method", options.method_, "request method");
  explain->add_option("path", options.path_, "request path")->required();
  explain->add_option("--key", options.key_, "key of the caller");

  explain->add_option("--host", options.host_, "host of the request");

  auto* trace = app.add_subcommand("trace", "show the log lines of a request on all nodes");
  trace->add_option("request", options.requestId_, "request id as the caller sent it")->required();
  trace->add_option("logs", options.logs_, "log files; standard input if there are none");

  auto* metrics = app.add_subcommand("metrics", "show the metrics of a node");
  metrics->add_option("--node", options.admin_, "admin address of the node IP:PORT")->required();

  CLI11_PARSE(app, aCount, aArguments);
  if (validate->parsed()) {
    return Validate(options);
  }
  if (status->parsed()) {
    return Status(options);
  }
  if (watch->parsed()) {
    return Watch(options);
  }
  if (trace->parsed()) {
    return ShowTrace(options);
  }
  return explain->parsed() ? Explain(options) : ShowMetrics(options);
}
