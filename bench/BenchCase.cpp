#include "BenchCase.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <iostream>
#include <utility>

namespace masticstep::bench {

namespace {

std::vector<BenchCase>& Cases()
{
  static std::vector<BenchCase> sCases;
  return sCases;
}

bool HasEarlierName(const BenchCase& aLeft, const BenchCase& aRight)
{
  return aLeft.name < aRight.name;
}

} // namespace

CaseRegistration::CaseRegistration(BenchCase aCase)
{
  Cases().push_back(std::move(aCase));
}

std::vector<BenchCase> RegisteredCases()
{
  std::vector<BenchCase> cases = Cases();
  std::sort(cases.begin(), cases.end(), HasEarlierName);
  return cases;
}

void Print(const std::string& aCaseName, const std::vector<Measurement>& aMeasurements)
{
  for (const Measurement& measurement : aMeasurements) {
    boost::json::object baselines;
    for (const Baseline& baseline : measurement.baselines) {
      baselines[baseline.name] = baseline.value;
    }
    boost::json::object line;
    line["case"] = aCaseName;
    line["metric"] = measurement.metric;
    line["value"] = measurement.value;
    line["unit"] = measurement.unit;
    line["baselines"] = std::move(baselines);
    std::cout << boost::json::serialize(line) << std::endl;
  }
}

} // namespace masticstep::bench
