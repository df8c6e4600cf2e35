#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace masticstep::standins {

struct EngineOrder
{
  std::string id;
  std::int64_t fencing = 0;
  std::string kind;
  std::string argument;

  bool operator==(const EngineOrder&) const = default;
};

struct EngineOrderRecord
{
  EngineOrder order;
  bool isDone = false;
};

enum class OrderOutcome
{
  Accepted,
  Repeated,   // same ID as the last order; not executed again
  OldFencing, // rejected: the fencing number is outdated
  Conflict,   // rejected: another order is still running
};

struct EngineOrderCounters
{
  std::uint64_t accepted = 0;
  std::uint64_t repeated = 0;
  std::uint64_t refusedFencing = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t acceptedOldFencing = 0; // nonzero only if fencing is ignored
};

// Admits the orders of an engine: one at a time and, if the engine checks fencing, none with an
// outdated fencing number.
class EngineOrders
{
public:
  explicit EngineOrders(bool aRefusesOldFencing)
    : mRefusesOldFencing(aRefusesOldFencing)
  {
  }

  OrderOutcome Submit(const EngineOrder& aOrder);
  void Finish();
  const std::optional<EngineOrderRecord>& Last() const { return mLast; }
  const EngineOrderCounters& Counters() const { return mCounters; }

private:
  bool mRefusesOldFencing;
  std::int64_t mNewestFencing = 0;
  std::optional<EngineOrderRecord> mLast;
  EngineOrderCounters mCounters;
};

} // namespace masticstep::standins
