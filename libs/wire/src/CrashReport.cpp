#include "masticstep/wire/CrashReport.hpp"

#include "generated/crash_generated.h"
#include "masticstep/wire/WorkReport.hpp"

#include <algorithm>

namespace masticstep::wire {

namespace {

constexpr std::int64_t kMaximumTimeMs = 3600000; // 1 h
// Bytes in front of the file identifier.
constexpr std::size_t kIdentifierOffset = sizeof(flatbuffers::uoffset_t);

std::uint32_t EncodeTime(Duration aTime)
{
  return static_cast<std::uint32_t>(
    std::clamp<std::int64_t>(aTime / Milliseconds(1), 0, kMaximumTimeMs));
}

Duration DecodeTime(std::uint32_t aMilliseconds)
{
  return Milliseconds(std::min<std::int64_t>(aMilliseconds, kMaximumTimeMs));
}

std::vector<fb::PartTime> ToFlatBuffer(const std::vector<PartTime>& aTimes)
{
  std::vector<fb::PartTime> times;
  times.reserve(aTimes.size());
  for (const PartTime& item : aTimes) {
    times.emplace_back(item.part, EncodeTime(item.time));
  }
  return times;
}

std::vector<PartTime> FromFlatBuffer(const flatbuffers::Vector<const fb::PartTime*>* aTimes)
{
  std::vector<PartTime> times;
  if (aTimes == nullptr) {
    return times;
  }
  for (const fb::PartTime* item : *aTimes) {
    times.push_back({ item->part(), DecodeTime(item->ms()) });
  }
  return times;
}

} // namespace

std::string EncodeCrashReport(const CrashReport& aReport)
{
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<fb::ReportedCrash>> crashes;
  for (const ReportedCrash& crash : aReport.crashes) {
    std::vector<fb::CrashSuspect> suspects;
    suspects.reserve(crash.suspects.size());
    for (const CrashSuspect& suspect : crash.suspects) {
      suspects.emplace_back(suspect.part, suspect.position);
    }
    // Named, since the evaluation order of arguments, and with it the layout, differs by compiler.
    const flatbuffers::Offset<flatbuffers::Vector<const fb::CrashSuspect*>> suspectList =
      builder.CreateVectorOfStructs(suspects);
    const flatbuffers::Offset<flatbuffers::String> process = builder.CreateString(crash.process);
    crashes.push_back(
      fb::CreateReportedCrash(builder, process, EncodeTime(crash.age), suspectList));
  }
  const flatbuffers::Offset<flatbuffers::Vector<const fb::PartTime*>> sound =
    builder.CreateVectorOfStructs(ToFlatBuffer(aReport.sound));
  const flatbuffers::Offset<flatbuffers::Vector<const fb::PartTime*>> quarantined =
    builder.CreateVectorOfStructs(ToFlatBuffer(aReport.quarantined));
  const flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<fb::ReportedCrash>>> crashList =
    builder.CreateVector(crashes);
  const flatbuffers::Offset<fb::CrashReport> report =
    fb::CreateCrashReport(builder, crashList, quarantined, sound);
  fb::FinishCrashReportBuffer(builder, report);
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

bool IsCrashReport(std::string_view aBytes)
{
  const std::string_view identifier = fb::CrashReportIdentifier();
  return aBytes.size() >= kIdentifierOffset + identifier.size() &&
         aBytes.substr(kIdentifierOffset, identifier.size()) == identifier;
}

Result<CrashReport, WireError> DecodeCrashReport(std::string_view aBytes)
{
  const std::uint8_t* bytes = reinterpret_cast<const std::uint8_t*>(aBytes.data());
  flatbuffers::Verifier verifier(bytes, aBytes.size());
  if (aBytes.size() > kMaximumWorkReportBytes || !fb::VerifyCrashReportBuffer(verifier)) {
    return Failure(WireError{ WireErrorKind::MalformedBody, "datagram is not a crash report" });
  }
  const fb::CrashReport* table = fb::GetCrashReport(bytes);
  CrashReport report{ {}, FromFlatBuffer(table->quarantined()), FromFlatBuffer(table->sound()) };
  if (table->crashes() == nullptr) {
    return report;
  }
  for (const fb::ReportedCrash* item : *table->crashes()) {
    if (item->process() == nullptr || item->suspects() == nullptr) {
      return Failure(
        WireError{ WireErrorKind::MalformedBody, "crash report has an item without an engine" });
    }
    ReportedCrash crash{ item->process()->str(), DecodeTime(item->age_ms()), {} };
    for (const fb::CrashSuspect* suspect : *item->suspects()) {
      crash.suspects.push_back({ suspect->id(), suspect->position() });
    }
    report.crashes.push_back(std::move(crash));
  }
  return report;
}

} // namespace masticstep::wire
