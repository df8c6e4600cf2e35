#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace masticstep {

// The numbers are part of the protocol between daemons.
enum class EntryKind : std::uint8_t
{
  EngineLoad = 1,     // by engine; stays in its data centre
  Health = 2,         // by backend server or daemon, at least every 20 s; stays in its data centre
  AccountUsage = 3,   // by daemon; stays in its data centre
  Drain = 4,          // by backend server; goes everywhere; an empty value ends the drain
  ServiceSummary = 5, // by service and data centre; goes everywhere
  UsageSummary = 6,   // by data centre; goes everywhere
  OfferedWork = 7     // by daemon, every 5 s; stays in its data centre
};

// How entries of a kind travel and age.
struct EntryPolicy
{
  bool isKnown = false;
  bool isGlobal = false;   // goes to other data centres
  bool isUrgent = false;   // sent at once instead of with the next delta
  bool isPeriodic = false; // published again and again, so that a lost update heals with the next
  Duration staleAfter{};   // older values must not be used for decisions
  Duration
    missingAfter{};     // a periodic entry this old is asked for; more than two publish intervals
  Duration dropAfter{}; // older entries are forgotten and no longer accepted
};

const EntryPolicy& PolicyOf(EntryKind aKind);

struct EntryKey
{
  EntryKind kind = EntryKind::EngineLoad;
  std::string name;

  auto operator<=>(const EntryKey&) const = default;
};

std::uint64_t HashOf(const EntryKey& aKey);

// One shared fact. Of two entries with one key, the one with the higher (version, owner) replaces
// the other, whatever their age.
struct Entry
{
  EntryKey key;
  HostName owner; // daemon that published it
  std::uint64_t version = 0;
  Duration age{}; // since it was published
  std::string value;

  bool IsStale() const { return age > PolicyOf(key.kind).staleAfter; }
  auto operator<=>(const Entry&) const = default;
};

} // namespace masticstep
