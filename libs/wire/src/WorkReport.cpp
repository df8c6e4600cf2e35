#include "masticstep/wire/WorkReport.hpp"

#include "NeedSeconds.hpp"
#include "generated/work_generated.h"

#include <algorithm>

namespace masticstep::wire {

namespace {

// Values above these limits are implausible and could overflow sums.
constexpr std::uint64_t kMaximumPrefillTimeUs = 3600000000ULL; // 1 h
constexpr std::uint64_t kMaximumTokens = 1ULL << 40U;
constexpr std::int64_t kMaximumAgeMs = 3600000;            // 1 h
constexpr std::int64_t kMaximumClockUs = 4102444800000000; // the year 2100

// Zero stands for no value, so an age is sent plus one.
std::uint32_t EncodeAge(const std::optional<Duration>& aAge)
{
  if (!aAge) {
    return 0;
  }
  const std::int64_t ms = *aAge / Milliseconds(1);
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(ms, 0, kMaximumAgeMs)) + 1;
}

std::optional<Duration> DecodeAge(std::uint32_t aAge)
{
  return aAge == 0 ? std::nullopt : std::optional<Duration>(Milliseconds(aAge - 1));
}

} // namespace

std::string EncodeWorkReport(const WorkReport& aReport)
{
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<fb::BackendWork>> backends;
  for (const BackendWork& work : aReport.backends) {
    const std::uint64_t prefillTimeUs =
      static_cast<std::uint64_t>(std::max<std::int64_t>(work.prefillTime.count(), 0));
    backends.push_back(fb::CreateBackendWork(builder, builder.CreateString(work.backend.Text()),
                                             prefillTimeUs, work.requests, work.tokens));
  }
  std::vector<flatbuffers::Offset<fb::ServiceNeed>> needs;
  for (const ServiceNeed& need : aReport.needs) {
    needs.push_back(fb::CreateServiceNeed(
      builder, builder.CreateString(need.service.Text()), static_cast<float>(need.prefillSeconds),
      static_cast<float>(need.slotSeconds), static_cast<float>(need.kvCacheSeconds),
      static_cast<float>(need.transferSeconds)));
  }
  // Named, since the evaluation order of arguments, and with it the layout, differs by compiler.
  const flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<fb::ServiceNeed>>> needList =
    builder.CreateVector(needs);
  const flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<fb::BackendWork>>> backendList =
    builder.CreateVector(backends);
  const flatbuffers::Offset<flatbuffers::String> host = builder.CreateString(aReport.host.Text());
  const flatbuffers::Offset<fb::WorkReport> report = fb::CreateWorkReport(
    builder, host, aReport.sequence, backendList, aReport.newestEntry, aReport.configuration,
    needList, aReport.backendChanges, EncodeAge(aReport.storeAge), aReport.storeEra,
    aReport.clock / Microseconds(1), aReport.needsStandby, aReport.isStoreLost);
  fb::FinishWorkReportBuffer(builder, report);
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

Result<WorkReport, WireError> DecodeWorkReport(std::string_view aBytes)
{
  const std::uint8_t* bytes = reinterpret_cast<const std::uint8_t*>(aBytes.data());
  flatbuffers::Verifier verifier(bytes, aBytes.size());
  if (aBytes.size() > kMaximumWorkReportBytes || !fb::VerifyWorkReportBuffer(verifier)) {
    return Failure(WireError{ WireErrorKind::MalformedBody, "datagram is not a work report" });
  }
  const fb::WorkReport* table = fb::GetWorkReport(bytes);
  if (table->host() == nullptr || table->backends() == nullptr) {
    return Failure(WireError{ WireErrorKind::MalformedBody,
                              "work report has no host or no list of backend servers" });
  }
  WorkReport report{ HostName{ table->host()->str() },
                     table->sequence(),
                     {},
                     table->newest_entry(),
                     table->configuration(),
                     {},
                     table->backend_changes(),
                     DecodeAge(table->store_age_ms()),
                     table->store_era(),
                     Microseconds(std::clamp<std::int64_t>(table->clock_us(), 0, kMaximumClockUs)),
                     table->needs_standby(),
                     table->store_lost() };
  for (const fb::BackendWork* item : *table->backends()) {
    if (item->backend() == nullptr) {
      return Failure(WireError{ WireErrorKind::MalformedBody,
                                "work report has an item without a backend server" });
    }
    const std::uint64_t prefillTimeUs =
      std::min<std::uint64_t>(item->read_us(), kMaximumPrefillTimeUs);
    report.backends.push_back({ BackendServerName{ item->backend()->str() },
                                Microseconds(static_cast<std::int64_t>(prefillTimeUs)),
                                item->requests(),
                                std::min<std::uint64_t>(item->tokens(), kMaximumTokens) });
  }
  if (table->needs() == nullptr) {
    return report;
  }
  for (const fb::ServiceNeed* item : *table->needs()) {
    if (item->service() == nullptr) {
      return Failure(
        WireError{ WireErrorKind::MalformedBody, "work report has a need without a service" });
    }
    report.needs.push_back({ ServiceName{ item->service()->str() }, ClampSeconds(item->prefill_s()),
                             ClampSeconds(item->slot_s()), ClampSeconds(item->kv_cache_s()),
                             ClampSeconds(item->transfer_s()) });
  }
  return report;
}

} // namespace masticstep::wire
