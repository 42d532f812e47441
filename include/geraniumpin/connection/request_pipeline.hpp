#pragma once

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace geraniumpin {

/// \brief Limits of the requests of one connection that are served at the same time.
struct PipelineLimits
{
  /// Requests that are started and whose response is not sent; 1 serves one after the other.
  const std::size_t maxRequests_ = kDefaultMaxRequests;
  /// Bytes of responses that wait for an earlier one or for the client, above which no further
  /// request starts.
  const std::size_t maxResponseBytes_ = kDefaultMaxResponseBytes;

  static constexpr std::size_t kDefaultMaxRequests = 16;
  static constexpr std::size_t kDefaultMaxResponseBytes = 256U << 10U;

  auto operator<=>(const PipelineLimits&) const = default;
};

/// \brief Whether the next request of a connection may start.
enum class StartDecision
{
  Start,
  Wait, ///< until responses are sent
  Never ///< the connection closes after a response that is due before
};

/// \brief Decides when the requests of one connection start, and in which order their responses are
/// sent.
///
/// Requests that may run ahead start beside each other; any other request starts once all responses
/// before it are sent. Responses are sent in the order of the requests. The request after which the
/// connection closes is the last one that starts: what follows it was not read, and the client may
/// send it again whatever its kind.
///
/// \code
/// if (pipeline.Evaluate(mayRunAhead) == StartDecision::Start) {
///   pipeline.OnStarted(id, mayRunAhead, keepsAlive);
/// }
/// pipeline.OnResponse(id, response, bytes);
/// for (const auto& sendable : pipeline.TakeSendable()) { ... }
/// \endcode
///
/// \tparam Response Held until the responses before it are sent.
template<class Response>
class RequestPipeline
{
public:
  using Id = std::uint64_t;

  /// \brief A response whose turn has come.
  struct Sendable
  {
    Id id_ = 0;
    Response response_;
    bool isLast_ = false; ///< the connection closes after it
  };

  explicit RequestPipeline(const PipelineLimits& aLimits) noexcept
    : limits_(aLimits)
  {
  }

  /// \param aMayRunAhead True if the request may run beside the ones before it.
  [[nodiscard]] StartDecision Evaluate(bool aMayRunAhead) const noexcept
  {
    if (hasLast_) {
      return StartDecision::Never;
    }
    if (entries_.empty()) {
      return StartDecision::Start;
    }
    const bool runsAhead =
      aMayRunAhead && std::all_of(entries_.begin(), entries_.end(), [](const Entry& aEntry) {
        return aEntry.mayRunAhead_;
      });
    const bool hasRoom =
      entries_.size() < limits_.maxRequests_ && responseBytes_ <= limits_.maxResponseBytes_;
    return runsAhead && hasRoom ? StartDecision::Start : StartDecision::Wait;
  }

  /// \brief Records a request that was started.
  /// \param aKeepsAlive False if the client expects the connection to close after the response.
  void OnStarted(Id aId, bool aMayRunAhead, bool aKeepsAlive)
  {
    entries_.push_back({ aId, aMayRunAhead });
    hasLast_ = isEnding_ || !aKeepsAlive;
  }

  /// \brief Records the response of a request; a further one of the same request has no effect.
  /// \param aBytes Size of the response.
  void OnResponse(Id aId, Response aResponse, std::size_t aBytes)
  {
    const auto found = std::find_if(entries_.begin(), entries_.end(), [&](const Entry& aEntry) {
      return aEntry.id_ == aId && aEntry.stage_ == Stage::Running;
    });
    if (found == entries_.end()) {
      return;
    }
    found->stage_ = Stage::Answered;
    found->response_.emplace(std::move(aResponse));
    found->bytes_ = aBytes;
    responseBytes_ += aBytes;
  }

  /// \brief Takes the responses that may be sent now, in order; OnSent must follow.
  [[nodiscard]] std::vector<Sendable> TakeSendable()
  {
    std::vector<Sendable> sendable;
    for (auto entry = entries_.begin(); entry != entries_.end(); ++entry) {
      if (entry->stage_ == Stage::Running) {
        break;
      }
      if (entry->stage_ == Stage::Answered) {
        const bool isLast = hasLast_ && std::next(entry) == entries_.end();
        sendable.push_back({ entry->id_, std::move(*entry->response_), isLast });
        entry->response_.reset();
        entry->stage_ = Stage::Sending;
      }
    }
    return sendable;
  }

  /// \brief Removes the requests whose responses were taken, after all of them are sent.
  void OnSent()
  {
    while (!entries_.empty() && entries_.front().stage_ == Stage::Sending) {
      responseBytes_ -= entries_.front().bytes_;
      entries_.pop_front();
    }
  }

  /// \brief Makes the request that was started last the last one of the connection, or else the
  /// next one.
  void BeginEnding() noexcept
  {
    isEnding_ = true;
    hasLast_ = hasLast_ || (!entries_.empty() && entries_.back().stage_ != Stage::Sending);
  }

  /// \brief Returns the requests whose response was not taken, in order.
  [[nodiscard]] std::vector<Id> Unsent() const
  {
    std::vector<Id> ids;
    for (const auto& entry : entries_) {
      if (entry.stage_ != Stage::Sending) {
        ids.push_back(entry.id_);
      }
    }
    return ids;
  }

  /// \brief Returns true if no request is started whose response is not sent.
  [[nodiscard]] bool IsEmpty() const noexcept { return entries_.empty(); }

  /// \brief Returns true if the last response of the connection is sent.
  [[nodiscard]] bool HasEnded() const noexcept { return hasLast_ && entries_.empty(); }

private:
  enum class Stage
  {
    Running,
    Answered,
    Sending
  };

  struct Entry
  {
    Id id_ = 0;
    bool mayRunAhead_ = false;
    Stage stage_ = Stage::Running;
    std::optional<Response> response_{};
    std::size_t bytes_ = 0;
  };

  PipelineLimits limits_;
  std::deque<Entry> entries_;
  std::size_t responseBytes_ = 0; ///< of responses that are not sent
  bool isEnding_ = false;
  bool hasLast_ = false; ///< the last request of the connection has started
};

} // namespace geraniumpin
