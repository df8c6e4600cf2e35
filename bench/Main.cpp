#include "BenchCase.hpp"

#include <cstdlib>
#include <iostream>
#include <string>

namespace {

constexpr int kUsageError = 2;

} // namespace

// Usage: masticstep_bench [CASE | --list]; without an argument every case runs, one after the
// other.
int main(int aCount, char** aArguments)
{
  const std::string wanted = aCount > 1 ? aArguments[1] : "";
  if (wanted == "--list") {
    for (const masticstep::bench::BenchCase& item : masticstep::bench::RegisteredCases()) {
      std::cout << item.name << "\n";
    }
    return EXIT_SUCCESS;
  }
  bool found = wanted.empty();
  for (const masticstep::bench::BenchCase& item : masticstep::bench::RegisteredCases()) {
    if (!wanted.empty() && item.name != wanted) {
      continue;
    }
    found = true;
    masticstep::bench::Print(item.name, item.function());
  }
  if (!found) {
    std::cerr << "no case is named '" << wanted << "'\n";
    return kUsageError;
  }
  return EXIT_SUCCESS;
}
