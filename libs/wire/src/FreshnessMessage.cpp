#include "masticstep/wire/FreshnessMessage.hpp"

#include "generated/freshness_generated.h"
#include "masticstep/wire/WorkReport.hpp"

#include <algorithm>

namespace masticstep::wire {

namespace {

constexpr std::int64_t kMaximumAgeMs = 3600000; // 1 h
constexpr std::size_t kIdentifierOffset = sizeof(flatbuffers::uoffset_t);

// Rounds up, since an age that is too small would make the configuration seem newer than it is.
std::uint32_t EncodeAge(Duration aAge)
{
  const std::int64_t ms = (aAge + Milliseconds(1) - Microseconds(1)) / Milliseconds(1);
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(ms, 0, kMaximumAgeMs));
}

} // namespace

std::string EncodeFreshnessMessage(const FreshnessMessage& aMessage)
{
  flatbuffers::FlatBufferBuilder builder;
  const flatbuffers::Offset<fb::FreshnessMessage> message =
    fb::CreateFreshnessMessage(builder, aMessage.asked.time_since_epoch() / Microseconds(1),
                               aMessage.isAnswer, aMessage.configuration, EncodeAge(aMessage.age));
  fb::FinishFreshnessMessageBuffer(builder, message);
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

bool IsFreshnessMessage(std::string_view aBytes)
{
  const std::string_view identifier = fb::FreshnessMessageIdentifier();
  return aBytes.size() >= kIdentifierOffset + identifier.size() &&
         aBytes.substr(kIdentifierOffset, identifier.size()) == identifier;
}

Result<FreshnessMessage, WireError> DecodeFreshnessMessage(std::string_view aBytes)
{
  const std::uint8_t* bytes = reinterpret_cast<const std::uint8_t*>(aBytes.data());
  flatbuffers::Verifier verifier(bytes, aBytes.size());
  if (aBytes.size() > kMaximumWorkReportBytes || !fb::VerifyFreshnessMessageBuffer(verifier)) {
    return Failure(WireError{ WireErrorKind::MalformedBody, "datagram is no freshness message" });
  }
  const fb::FreshnessMessage* table = fb::GetFreshnessMessage(bytes);
  return FreshnessMessage{ Time(Microseconds(table->asked_us())), table->is_answer(),
                           table->configuration(),
                           Milliseconds(std::min<std::int64_t>(table->age_ms(), kMaximumAgeMs)) };
}

} // namespace masticstep::wire
