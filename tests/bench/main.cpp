/// \brief Prints measurements of the core; all results but measured times and memory are
/// reproducible from fixed seeds.

#include "benches.hpp"

int
main()
{
  geraniumpin::bench::BenchConfiguration();
  geraniumpin::bench::BenchLimits();
  geraniumpin::bench::BenchAdmission();
  geraniumpin::bench::BenchChoice();
}
