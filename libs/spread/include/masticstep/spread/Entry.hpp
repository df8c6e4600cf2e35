#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace masticstep {

// The values are part of the wire protocol between daemons.
enum class EntryKind : std::uint8_t
{
  EngineLoad = 1,     // per engine; within the data centre
  Health = 2,         // per backend server or daemon, at least every 20 s; within the data centre
  AccountUsage = 3,   // per daemon; within the data centre
  Drain = 4,          // per backend server; global; an empty value ends the drain
  ServiceSummary = 5, // per service and data centre; global
  UsageSummary = 6,   // per data centre; global
  OfferedWork = 7     // per daemon, every 5 s; within the data centre
};

// Propagation scope and expiry of the entries of one kind.
struct EntryPolicy
{
  bool isKnown = false;
  bool isGlobal = false;   // propagated to other data centres
  bool isUrgent = false;   // sent immediately instead of with the next delta
  bool isPeriodic = false; // republished regularly, so the next update repairs a lost one
  Duration staleAfter{};   // age above which the value must not be used for decisions
  // Age above which a periodic entry counts as missing and is requested from all neighbours. Longer
  // than two publication intervals.
  Duration missingAfter{};
  Duration expireAfter{}; // age from which an entry is removed and no longer accepted
};

const EntryPolicy& PolicyOf(EntryKind aKind);

struct EntryKey
{
  EntryKind kind = EntryKind::EngineLoad;
  std::string name;

  auto operator<=>(const EntryKey&) const = default;
};

std::uint64_t HashOf(const EntryKey& aKey);

// Versioned key-value pair that daemons replicate. Of two entries with the same key, the one with
// the greater (version, owner) replaces the other, regardless of their ages.
struct Entry
{
  EntryKey key;
  HostName owner; // daemon that published it
  std::uint64_t version = 0;
  Duration age{}; // time since it was published
  std::string value;

  bool IsStale() const { return age > PolicyOf(key.kind).staleAfter; }
  auto operator<=>(const Entry&) const = default;
};

} // namespace masticstep
