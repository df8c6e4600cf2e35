#include "masticstep/wire/WorkReport.hpp"

#include "generated/work_generated.h"

#include <algorithm>

namespace masticstep::wire {

namespace {

// Values above these limits are implausible and could overflow sums.
constexpr std::uint64_t kMaximumPrefillTimeUs = 3600000000ULL; // 1 h
constexpr std::uint64_t kMaximumTokens = 1ULL << 40U;

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
  const flatbuffers::Offset<fb::WorkReport> report = fb::CreateWorkReport(
    builder, builder.CreateString(aReport.host.Text()), aReport.sequence,
    builder.CreateVector(backends), aReport.newestEntry, aReport.configuration);
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
                     table->configuration() };
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
  return report;
}

} // namespace masticstep::wire
