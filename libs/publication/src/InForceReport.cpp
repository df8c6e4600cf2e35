#include "masticstep/publication/InForceReport.hpp"

#include "masticstep/base/ObjectReader.hpp"

#include <limits>

namespace masticstep::publication {

namespace {

constexpr IntegerRange kGenerationRange{ 0, std::numeric_limits<std::int64_t>::max() };
constexpr IntegerRange kMembersRange{ 0, 1000000 };

} // namespace

platform::ObjectKey InForceKey(const DataCentreName& aDataCentre)
{
  return platform::ObjectKey("status/" + aDataCentre.Text());
}

std::string EncodeInForce(const InForceReport& aReport)
{
  return boost::json::serialize(boost::json::object{ { "data_centre", aReport.dataCentre.Text() },
                                                     { "generation", aReport.generation },
                                                     { "members", aReport.members },
                                                     { "reporter", aReport.reporter.Text() } });
}

Result<InForceReport, Faults> ParseInForce(std::string_view aText)
{
  Faults faults;
  const std::string file = "status";
  const std::optional<boost::json::object> object = ParseObject(aText, file, faults);
  if (!object) {
    return Failure(faults);
  }
  ObjectReader reader(*object, file, "$", faults);
  InForceReport report;
  report.dataCentre = DataCentreName(reader.RequiredName("data_centre"));
  report.generation =
    static_cast<std::uint64_t>(reader.RequiredInteger("generation", kGenerationRange));
  report.members = static_cast<std::uint32_t>(reader.RequiredInteger("members", kMembersRange));
  report.reporter = HostName(reader.RequiredName("reporter"));
  // Unknown keys are ignored, since newer daemons may report more fields.
  if (!faults.empty()) {
    return Failure(faults);
  }
  return report;
}

} // namespace masticstep::publication
