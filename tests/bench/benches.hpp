#pragma once

namespace geraniumpin::bench {

/// \brief Prints the ratio of conforming requests that team limits refuse, against baselines.
void
BenchLimits();

/// \brief Prints results of concurrency controllers on a cold backend server, and of queues for the
/// team that is served worst.
void
BenchAdmission();

/// \brief Prints latencies of three policies to choose an instance, with one slow instance.
void
BenchChoice();

/// \brief Prints time, bytes and memory that configuration takes at several sizes.
void
BenchConfiguration();

} // namespace geraniumpin::bench
