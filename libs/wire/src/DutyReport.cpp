#include "masticstep/wire/DutyReport.hpp"

#include "NeedSeconds.hpp"
#include "generated/usage_generated.h"

namespace masticstep::wire {

namespace {

constexpr std::size_t kIdentifierOffset = sizeof(flatbuffers::uoffset_t);

flatbuffers::Offset<fb::UsageWindow> EncodeWindow(flatbuffers::FlatBufferBuilder& aBuilder,
                                                  const UsageWindow& aWindow)
{
  std::vector<flatbuffers::Offset<fb::AccountCount>> counts;
  counts.reserve(aWindow.counts.size());
  for (const AccountCount& item : aWindow.counts) {
    counts.push_back(
      fb::CreateAccountCount(aBuilder, aBuilder.CreateString(item.account.Text()), item.requests));
  }
  const flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<fb::AccountCount>>> list =
    aBuilder.CreateVector(counts);
  return fb::CreateUsageWindow(aBuilder, aWindow.window, list);
}

UsageWindow DecodeWindow(const fb::UsageWindow& aTable)
{
  UsageWindow window{ aTable.window(), {} };
  if (aTable.counts() == nullptr) {
    return window;
  }
  for (const fb::AccountCount* item : *aTable.counts()) {
    if (item->account() != nullptr) {
      window.counts.push_back({ AccountName{ item->account()->str() }, item->requests() });
    }
  }
  return window;
}

} // namespace

std::string EncodeDutyReport(const DutyReport& aReport)
{
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<fb::UsageWindow>> windows;
  for (const UsageWindow& window : aReport.windows) {
    windows.push_back(EncodeWindow(builder, window));
  }
  std::vector<flatbuffers::Offset<fb::DutyNeed>> needs;
  for (const ServiceNeed& need : aReport.needs) {
    needs.push_back(fb::CreateDutyNeed(
      builder, builder.CreateString(need.service.Text()), static_cast<float>(need.prefillSeconds),
      static_cast<float>(need.slotSeconds), static_cast<float>(need.kvCacheSeconds),
      static_cast<float>(need.transferSeconds)));
  }
  // Named, since the evaluation order of arguments, and with it the layout, differs by compiler.
  const flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<fb::UsageWindow>>> windowList =
    builder.CreateVector(windows);
  const flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<fb::DutyNeed>>> needList =
    builder.CreateVector(needs);
  const flatbuffers::Offset<flatbuffers::String> host = builder.CreateString(aReport.host.Text());
  const flatbuffers::Offset<flatbuffers::String> dataCentre =
    builder.CreateString(aReport.dataCentre.Text());
  const flatbuffers::Offset<fb::DutyReport> report =
    fb::CreateDutyReport(builder, dataCentre, host, windowList, needList);
  fb::FinishDutyReportBuffer(builder, report);
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

bool IsDutyReport(std::string_view aBytes)
{
  const std::string_view identifier = fb::DutyReportIdentifier();
  return aBytes.size() >= kIdentifierOffset + identifier.size() &&
         aBytes.substr(kIdentifierOffset, identifier.size()) == identifier;
}

Result<DutyReport, WireError> DecodeDutyReport(std::string_view aBytes)
{
  const std::uint8_t* bytes = reinterpret_cast<const std::uint8_t*>(aBytes.data());
  flatbuffers::Verifier verifier(bytes, aBytes.size());
  if (aBytes.size() > kMaximumWorkReportBytes || !fb::VerifyDutyReportBuffer(verifier)) {
    return Failure(WireError{ WireErrorKind::MalformedBody, "datagram is no duty report" });
  }
  const fb::DutyReport* table = fb::GetDutyReport(bytes);
  if (table->data_centre() == nullptr || table->host() == nullptr) {
    return Failure(
      WireError{ WireErrorKind::MalformedBody, "duty report names no data centre or no host" });
  }
  DutyReport report{
    DataCentreName{ table->data_centre()->str() }, HostName{ table->host()->str() }, {}, {}
  };
  if (table->windows() != nullptr) {
    for (const fb::UsageWindow* window : *table->windows()) {
      report.windows.push_back(DecodeWindow(*window));
    }
  }
  if (table->needs() != nullptr) {
    for (const fb::DutyNeed* need : *table->needs()) {
      if (need->service() != nullptr) {
        report.needs.push_back({ ServiceName{ need->service()->str() },
                                 ClampSeconds(need->prefill_s()), ClampSeconds(need->slot_s()),
                                 ClampSeconds(need->kv_cache_s()),
                                 ClampSeconds(need->transfer_s()) });
      }
    }
  }
  return report;
}

} // namespace masticstep::wire
