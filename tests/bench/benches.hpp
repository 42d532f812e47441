#pragma once

namespace geraniumpin::bench {

/// \brief Prints wrongful refusals of team limits against baselines.
void
BenchLimits();

/// \brief Prints how admission serves a cold backend server and the worst-served team.
void
BenchAdmission();

/// \brief Prints latency under three ways to choose an instance, one of them slow.
void
BenchChoice();

/// \brief Prints time, bytes and memory of configuration at several sizes.
void
BenchConfiguration();

} // namespace geraniumpin::bench
