#include "masticstep/authority/Lease.hpp"

#include "masticstep/base/ObjectReader.hpp"

namespace masticstep::authority {

namespace {

const std::string kObjectName = "leases";
constexpr IntegerRange kFencingRange{ 0, INT64_MAX };
constexpr IntegerRange kDurationMsRange{ 0, 3600 * 1000 };

} // namespace

platform::ObjectKey LeaseKey(const DataCentreName& aDataCentre, std::string_view aRole)
{
  return platform::ObjectKey{ "leases/" + aDataCentre.Text() + "/" + std::string(aRole) };
}

std::string EncodeLease(const Lease& aLease)
{
  return boost::json::serialize(
    boost::json::object{ { "holder", aLease.holder.Text() },
                         { "nonce", aLease.nonce },
                         { "fencing", aLease.fencing },
                         { "duration_ms", aLease.duration / Milliseconds(1) } });
}

std::optional<Lease> ParseLease(std::string_view aText)
{
  Faults faults;
  const std::optional<boost::json::object> object = ParseObject(aText, kObjectName, faults);
  if (!object) {
    return std::nullopt;
  }
  ObjectReader reader(*object, kObjectName, "$", faults);
  Lease lease;
  lease.holder = HostName{ reader.RequiredString("holder") };
  lease.nonce = reader.RequiredString("nonce");
  lease.fencing = static_cast<std::uint64_t>(reader.RequiredInteger("fencing", kFencingRange));
  lease.duration = Milliseconds(reader.RequiredInteger("duration_ms", kDurationMsRange));
  return faults.empty() ? std::optional<Lease>(lease) : std::nullopt;
}

} // namespace masticstep::authority
