#pragma once

#include <array>
#include <cstdint>
#include <limits>

namespace geraniumpin {

/// \brief Cryptographically secure random numbers from OpenSSL; satisfies Random.
class SecureRandom
{
public:
  using result_type = std::uint64_t;

  // The standard library prescribes these names.
  // NOLINTBEGIN(readability-identifier-naming)
  [[nodiscard]] static constexpr result_type min() noexcept { return 0; }
  [[nodiscard]] static constexpr result_type max() noexcept
  {
    return std::numeric_limits<result_type>::max();
  }
  // NOLINTEND(readability-identifier-naming)
  result_type operator()();

private:
  static constexpr std::size_t kBatchSize = 64;

  std::array<result_type, kBatchSize> batch_{};
  std::size_t next_ = kBatchSize;
};

} // namespace geraniumpin
