#pragma once

#include <concepts>
#include <cstdint>
#include <random>

namespace geraniumpin {

/// \brief Produces uniformly distributed 64-bit numbers; tests pass a seeded one.
template<class R>
concept Random = std::uniform_random_bit_generator<R>;

/// \brief Draws an index below the limit.
/// \param aLimit At least 1.
template<Random R>
[[nodiscard]] std::size_t
DrawIndex(R& aRandom, std::size_t aLimit)
{
  return std::uniform_int_distribution<std::size_t>(0, aLimit - 1)(aRandom);
}

/// \brief Draws a number of at least 0 and below 1.
template<Random R>
[[nodiscard]] double
DrawFraction(R& aRandom)
{
  return std::uniform_real_distribution<double>(0, 1)(aRandom);
}

} // namespace geraniumpin
