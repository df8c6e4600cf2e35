// Fuzz target of the readers of platform objects. What a reader accepts must be writable, and the
// written text must be read and written the same.

#include "masticstep/authority/EngineOrder.hpp"
#include "masticstep/authority/Lease.hpp"
#include "masticstep/orders/OrderKey.hpp"
#include "masticstep/orders/ShardObject.hpp"
#include "masticstep/publication/InForceReport.hpp"
#include "masticstep/publication/ServiceContent.hpp"

#include <cstdlib>

namespace {

using namespace masticstep;

// aParse returns an optional or a result, which its writer aEncode turns into text again.
template <typename Parse, typename Encode>
void CheckRoundTrip(std::string_view aText, Parse aParse, Encode aEncode)
{
  const auto parsed = aParse(aText);
  if (!parsed.has_value()) {
    return;
  }
  const std::string text = aEncode(*parsed);
  const auto again = aParse(text);
  if (!again.has_value() || aEncode(*again) != text) {
    std::abort();
  }
}

void CheckOutcomes(std::string_view aText)
{
  const auto parse = [](std::string_view aObject) { return orders::ParseOutcome(aObject, 0); };
  const auto encode = [](const orders::CallOutcome& aOutcome) {
    return orders::EncodeOutcomes({ aOutcome });
  };
  CheckRoundTrip(aText, parse, encode);
}

void CheckOrderKey(std::string_view aText)
{
  const std::optional<orders::OrderKey> key = orders::ParseOrderKey(aText);
  if (key && orders::ParseOrderKey(key->text) != key) {
    std::abort(); // two spellings of one key would be two claims
  }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string text(reinterpret_cast<const char*>(aData), aSize);
  CheckRoundTrip(text, publication::ParseManifest, publication::EncodeManifest);
  CheckRoundTrip(text, publication::ParseContent, publication::EncodeContent);
  CheckRoundTrip(text, publication::ParseInForce, publication::EncodeInForce);
  CheckRoundTrip(text, orders::ParseRecords, orders::EncodeRecords);
  CheckRoundTrip(text, orders::ParseFloor, orders::EncodeFloor);
  CheckRoundTrip(text, authority::ParseLease, authority::EncodeLease);
  CheckRoundTrip(text, authority::ParseIntent, authority::EncodeIntent);
  CheckOutcomes(text);
  CheckOrderKey(text);
  return 0;
}
