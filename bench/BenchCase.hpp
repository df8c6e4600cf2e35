#pragma once

#include <string>
#include <vector>

namespace masticstep::bench {

// Value of the same metric under a simpler policy or an earlier version.
struct Baseline
{
  std::string name;
  double value = 0.0;
};

struct Measurement
{
  std::string metric;
  double value = 0.0;
  std::string unit;
  std::vector<Baseline> baselines;
};

struct BenchCase
{
  std::string name;
  std::vector<Measurement> (*function)() = nullptr;
};

// Adds a case to the program; define one object of this type per case in the case's own source.
class CaseRegistration
{
public:
  explicit CaseRegistration(BenchCase aCase);
};

// Returns all cases in the order of their names.
std::vector<BenchCase> RegisteredCases();

// Prints one JSON object on a line of its own for each measurement.
void Print(const std::string& aCaseName, const std::vector<Measurement>& aMeasurements);

} // namespace masticstep::bench
