#pragma once

#include "geraniumpin/connection/backend_connection.hpp"
#include "geraniumpin/process/random.hpp"
#include "geraniumpin/version/digest.hpp"

#include <map>
#include <optional>
#include <string>

namespace geraniumpin {

/// \brief Team, key and deadline of the calls that a backend server makes with a call token.
struct CallTokenContext
{
  const std::string team_;
  const Digest keyDigest_;
  const TimePoint deadline_;

  auto operator<=>(const CallTokenContext&) const = default;
};

/// \brief Call tokens of the requests that run at this VM's backend server.
///
/// A token is valid on this node only, and only while its request runs.
class CallTokens
{
public:
  /// \brief Issues a random token for an attempt; it cannot be derived from earlier ones.
  template<Random R>
  [[nodiscard]] std::string Issue(const AttemptId& aId,
                                  const CallTokenContext& aContext,
                                  R& aRandom)
  {
    const std::string secret = std::to_string(aRandom()) + std::to_string(aRandom());
    auto token = Digest::Compute(secret).Hex();
    contexts_.emplace(token, aContext);
    tokens_.emplace(aId, token);
    return token;
  }

  /// \brief Revokes the token of an attempt, if it has one.
  void Revoke(const AttemptId& aId)
  {
    const auto token = tokens_.find(aId);
    if (token != tokens_.end()) {
      contexts_.erase(token->second);
      tokens_.erase(token);
    }
  }

  /// \returns Null if the token is unknown or revoked.
  [[nodiscard]] const CallTokenContext* Find(const std::string& aToken) const
  {
    const auto found = contexts_.find(aToken);
    return found == contexts_.end() ? nullptr : &found->second;
  }

private:
  std::map<std::string, CallTokenContext> contexts_;
  std::map<AttemptId, std::string> tokens_;
};

} // namespace geraniumpin
