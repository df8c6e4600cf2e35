#include "masticstep/spread/Entry.hpp"

#include "masticstep/base/Hash.hpp"

#include <array>

namespace masticstep {

const EntryPolicy& PolicyOf(EntryKind aKind)
{
  constexpr Duration kHour = std::chrono::hours{ 1 };
  // Engine load is published at least every 2 s; account usage, service summaries and offered work
  // every 5 s; health and usage summaries every 20 s.
  //
  // Columns: isKnown, isGlobal, isUrgent, isPeriodic, staleAfter, missingAfter, expireAfter.
  static const std::array<EntryPolicy, 8> kPolicies = { {
    {}, // unknown kinds
    // EngineLoad
    { true, false, false, true, Seconds(5), Seconds(4) + Milliseconds(500), Seconds(600) },
    // Health
    { true, false, true, true, Seconds(60), Seconds(45), kHour },
    // AccountUsage
    { true, false, false, true, Seconds(30), Seconds(12), Seconds(600) },
    // Drain
    { true, true, true, false, 48 * kHour, {}, 48 * kHour },
    // ServiceSummary
    { true, true, false, true, Seconds(15), Seconds(12), Seconds(600) },
    // UsageSummary
    { true, true, false, true, Seconds(60), Seconds(45), Seconds(600) },
    // OfferedWork
    { true, false, false, true, Seconds(15), Seconds(12), Seconds(600) },
  } };
  const std::size_t index = static_cast<std::size_t>(aKind);
  return kPolicies[index < kPolicies.size() ? index : 0];
}

std::uint64_t HashOf(const EntryKey& aKey)
{
  return Hash64(aKey.name, static_cast<std::uint64_t>(aKey.kind));
}

} // namespace masticstep
