#include "trace.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace geraniumpin::cli {

namespace {

/// Descriptions of the reasons, with the log events that show their cause.
const std::map<std::string, std::string>&
ReasonDescriptions()
{
  static const std::map<std::string, std::string> kDescriptions{
    { "over_rate", "the team had no tokens left: compare its rate with lease_grant lines" },
    { "limit_unavailable",
      "no lessor of the team granted tokens in time: look for home_claim, member_suspected" },
    { "no_instance", "no instance accepts work: look for instance, version_applied, owner_silent" },
    { "overloaded", "the owner's queue for the team was full" },
    { "deadline_passed", "it could not start, or did not end, in time: see queued_us and ran_us" },
    { "draining", "the node or instance was stopping" },
    { "out_of_service", "operators took the failure domain out of service" },
    { "shed", "the instance refused before it started the work" },
    { "connect_failed", "the instance could not be reached" },
    { "connection_broken",
      "the request was sent and got no valid answer; event=exchange_broken has the detail" },
    { "peer_silent", "the owner node was unresponsive: look for owner_silent, member_suspected" },
    { "not_ready", "the node had no confirmed configuration yet: look for node_start" },
    { "no_route", "no route matched in the version that the node ran: see version_applied" },
    { "key_unknown", "the key was not in the version that the node ran: see version_applied" },
    { "key_missing", "the route requires a key and the request had none" },
    { "cancelled",
      "the caller closed its connection before the answer: see how long the request was at its "
      "owner, and why" },
    { "cut_off",
      "the node had no contact with the platform or another failure domain for too long" },
  };
  return kDescriptions;
}

} // namespace

std::string
FindField(const std::string& aLine, const std::string& aKey)
{
  const auto at = (" " + aLine).find(" " + aKey + "=");
  if (at == std::string::npos) {
    return {};
  }
  const auto begin = at + aKey.size() + 1;
  return aLine.substr(begin, aLine.find(' ', begin) - begin);
}

void
Trace::Read(const std::string& aName, std::istream& aLog)
{
  std::string line;
  while (std::getline(aLog, line)) {
    const auto time = line.find("ts=");
    const auto event = line.find("event=");
    if (time == std::string::npos || event == std::string::npos) {
      continue;
    }
    const auto text = line.substr(event);
    if (FindField(text, "request").empty() && FindField(text, "call").empty()) {
      continue;
    }
    const auto prefix = line.substr(0, time);
    lines_.push_back({ .time_ = FindField(line.substr(time), "ts"),
                       .from_ = prefix.find_first_not_of(' ') == std::string::npos ? aName : prefix,
                       .text_ = text });
  }
}

std::vector<TraceLine>
Trace::Lines() const
{
  std::set<std::string> calls;
  for (const auto& line : lines_) {
    if (FindField(line.text_, "request") == requestId_) {
      calls.insert(FindField(line.text_, "call"));
    }
  }
  std::vector<TraceLine> found;
  for (const auto& line : lines_) {
    if (calls.contains(FindField(line.text_, "call"))) {
      found.push_back(line);
    }
  }
  std::sort(found.begin(), found.end());
  return found;
}

std::string
DescribeOutcome(const std::vector<TraceLine>& aLines)
{
  for (auto line = aLines.rbegin(); line != aLines.rend(); ++line) {
    if (FindField(line->text_, "event") != "call_end") {
      continue;
    }
    const auto reason = FindField(line->text_, "reason");
    const auto known = ReasonDescriptions().find(reason);
    auto verdict = "ended " + FindField(line->text_, "outcome") + " (" + reason + ") after " +
                   FindField(line->text_, "us") + " us";
    return known == ReasonDescriptions().end() ? verdict : verdict + ": " + known->second;
  }
  return "the end of the request is not in these logs: look for event=log_dropped at its entry "
         "node";
}

} // namespace geraniumpin::cli
