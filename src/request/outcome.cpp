#include "geraniumpin/request/outcome.hpp"

namespace geraniumpin {

bool
IsInstanceUnavailable(Reason aReason) noexcept
{
  switch (aReason) {
    case Reason::NotReady:
    case Reason::Draining:
    case Reason::OutOfService:
    case Reason::ConnectFailed:
    case Reason::PeerSilent:
    case Reason::Misdirected:
    case Reason::InstanceReplaced:
    case Reason::InstanceFailing:
      return true;
    default:
      return false;
  }
}

std::string_view
ToString(Outcome aOutcome) noexcept
{
  switch (aOutcome) {
    case Outcome::Answered:
      return "answered";
    case Outcome::NotRun:
      return "not_run";
    case Outcome::Unknown:
      return "unknown";
  }
  return "invalid";
}

std::string_view
ToString(Reason aReason) noexcept
{
  switch (aReason) {
    case Reason::None:
      return "none";
    case Reason::NotReady:
      return "not_ready";
    case Reason::NoRoute:
      return "no_route";
    case Reason::KeyMissing:
      return "key_missing";
    case Reason::KeyUnknown:
      return "key_unknown";
    case Reason::TokenUnknown:
      return "token_unknown";
    case Reason::CutOff:
      return "cut_off";
    case Reason::OverRate:
      return "over_rate";
    case Reason::LimitUnavailable:
      return "limit_unavailable";
    case Reason::NoInstance:
      return "no_instance";
    case Reason::Overloaded:
      return "overloaded";
    case Reason::DeadlinePassed:
      return "deadline_passed";
    case Reason::Draining:
      return "draining";
    case Reason::OutOfService:
      return "out_of_service";
    case Reason::WrongNode:
      return "wrong_node";
    case Reason::VersionBehind:
      return "version_behind";
    case Reason::BodyTooLarge:
      return "body_too_large";
    case Reason::Shed:
      return "shed";
    case Reason::ConnectFailed:
      return "connect_failed";
    case Reason::ConnectionBroken:
      return "connection_broken";
    case Reason::PeerSilent:
      return "peer_silent";
    case Reason::DuplicateInFlight:
      return "duplicate_in_flight";
    case Reason::Cancelled:
      return "cancelled";
    case Reason::ServiceNotHere:
      return "service_not_here";
    case Reason::Misdirected:
      return "misdirected";
    case Reason::InstanceReplaced:
      return "instance_replaced";
    case Reason::InstanceFailing:
      return "instance_failing";
  }
  return "invalid";
}

} // namespace geraniumpin
