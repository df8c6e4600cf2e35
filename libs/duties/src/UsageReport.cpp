#include "masticstep/duties/UsageReport.hpp"

#include "masticstep/base/ObjectReader.hpp"

namespace masticstep::duties {

namespace {

constexpr const char* kObject = "usage reports";
constexpr IntegerRange kWindows{ 0, INT64_MAX };
constexpr IntegerRange kEras{ 0, INT64_MAX };
constexpr std::int64_t kMaximumCount = 4294967295;

AccountCounts ReadCounts(ObjectReader& aReader, const boost::json::object& aItem)
{
  AccountCounts counts;
  const boost::json::value* const value = aItem.if_contains("counts");
  const boost::json::object* const object = value == nullptr ? nullptr : value->if_object();
  if (object == nullptr) {
    aReader.Report("counts", "is missing or no object", "an object of numbers");
    return counts;
  }
  for (const boost::json::key_value_pair& item : *object) {
    const std::int64_t* const count = item.value().if_int64();
    if (count == nullptr || *count < 0 || *count > kMaximumCount) {
      aReader.Report("counts", "has a count that is no number", "0 to 4294967295");
      return counts;
    }
    counts[AccountName{ std::string(item.key()) }] = static_cast<std::uint32_t>(*count);
  }
  return counts;
}

} // namespace

std::string EncodeFixedReports(const FixedReports& aReports)
{
  boost::json::array list;
  for (const auto& [window, counts] : aReports.byWindow) {
    boost::json::object object;
    for (const auto& [account, count] : counts) {
      object[account.Text()] = count;
    }
    list.push_back(boost::json::object{ { "window", window }, { "counts", std::move(object) } });
  }
  return boost::json::serialize(boost::json::object{ { "store_era", aReports.storeEra },
                                                     { "first_window", aReports.firstWindow },
                                                     { "reports", std::move(list) } });
}

Result<FixedReports, std::string> DecodeFixedReports(const std::string& aBody)
{
  Faults faults;
  FixedReports reports;
  const std::optional<boost::json::object> object = ParseObject(aBody, kObject, faults);
  const boost::json::value* const list = object ? object->if_contains("reports") : nullptr;
  if (faults.empty() && (list == nullptr || !list->is_array())) {
    return Failure(std::string("$.reports: is missing or no list"));
  }
  if (object) {
    // Without them the object is of a version that knew no eras.
    ObjectReader reader(*object, kObject, "$", faults);
    reports.storeEra = static_cast<std::uint64_t>(reader.OptionalInteger("store_era", kEras, 0));
    reports.firstWindow = reader.OptionalInteger("first_window", kWindows, 0);
  }
  if (list != nullptr) {
    for (const boost::json::value& item : list->get_array()) {
      if (!item.is_object()) {
        return Failure(std::string("$.reports: has an item that is no object"));
      }
      ObjectReader reader(item.get_object(), kObject, "$.reports", faults);
      const WindowNumber window = reader.RequiredInteger("window", kWindows);
      reports.byWindow[window] = ReadCounts(reader, item.get_object());
    }
  }
  if (!faults.empty()) {
    return Failure(faults.front().path + ": " + faults.front().problem);
  }
  return reports;
}

} // namespace masticstep::duties
