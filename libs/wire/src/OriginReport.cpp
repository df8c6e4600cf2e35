#include "masticstep/wire/OriginReport.hpp"

#include "generated/origin_generated.h"
#include "masticstep/wire/WorkReport.hpp"

namespace masticstep::wire {

namespace {

// Bytes in front of the file identifier.
constexpr std::size_t kIdentifierOffset = sizeof(flatbuffers::uoffset_t);

// The version may be empty, since entries of backend servers need not name one.
bool IsPlausible(const fb::OriginGroup& aGroup)
{
  return aGroup.service() != nullptr && aGroup.version() != nullptr &&
         aGroup.streams() != nullptr && aGroup.service()->size() > 0 &&
         aGroup.service()->size() <= kMaximumOriginNameBytes &&
         aGroup.version()->size() <= kMaximumOriginNameBytes;
}

} // namespace

std::string EncodeOriginReport(const OriginReport& aReport)
{
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<fb::OriginGroup>> groups;
  for (const OriginGroup& group : aReport.groups) {
    // Named, since the evaluation order of arguments, and with it the layout, differs by compiler.
    const flatbuffers::Offset<flatbuffers::Vector<std::uint64_t>> streams =
      builder.CreateVector(group.streams);
    const flatbuffers::Offset<flatbuffers::String> version =
      builder.CreateString(group.version.Text());
    const flatbuffers::Offset<flatbuffers::String> service =
      builder.CreateString(group.service.Text());
    groups.push_back(fb::CreateOriginGroup(builder, service, version, streams));
  }
  const flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<fb::OriginGroup>>> list =
    builder.CreateVector(groups);
  const flatbuffers::Offset<fb::OriginReport> report = fb::CreateOriginReport(builder, list);
  fb::FinishOriginReportBuffer(builder, report);
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

bool IsOriginReport(std::string_view aBytes)
{
  const std::string_view identifier = fb::OriginReportIdentifier();
  return aBytes.size() >= kIdentifierOffset + identifier.size() &&
         aBytes.substr(kIdentifierOffset, identifier.size()) == identifier;
}

Result<OriginReport, WireError> DecodeOriginReport(std::string_view aBytes)
{
  const std::uint8_t* bytes = reinterpret_cast<const std::uint8_t*>(aBytes.data());
  flatbuffers::Verifier verifier(bytes, aBytes.size());
  if (aBytes.size() > kMaximumWorkReportBytes || !fb::VerifyOriginReportBuffer(verifier)) {
    return Failure(WireError{ WireErrorKind::MalformedBody, "datagram is not an origin report" });
  }
  const fb::OriginReport* table = fb::GetOriginReport(bytes);
  OriginReport report;
  if (table->groups() == nullptr) {
    return report;
  }
  for (const fb::OriginGroup* group : *table->groups()) {
    if (!IsPlausible(*group)) {
      return Failure(
        WireError{ WireErrorKind::MalformedBody, "origin report has a group without its names" });
    }
    report.groups.push_back({ ServiceName{ group->service()->str() },
                              SoftwareVersion{ group->version()->str() },
                              { group->streams()->begin(), group->streams()->end() } });
  }
  return report;
}

} // namespace masticstep::wire
