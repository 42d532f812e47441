/// \brief Prints measurements of the decisions; everything but times repeats from its seed.

#include "benches.hpp"

int
main()
{
  geraniumpin::bench::BenchConfiguration();
  geraniumpin::bench::BenchLimits();
  geraniumpin::bench::BenchAdmission();
  geraniumpin::bench::BenchChoice();
}
