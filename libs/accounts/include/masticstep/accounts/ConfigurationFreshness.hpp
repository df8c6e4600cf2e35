#pragma once

#include "masticstep/base/Time.hpp"

#include <cstdint>
#include <optional>

namespace masticstep::accounts {

// The newest configuration, as the store or another daemon tells it.
struct ConfigurationReading
{
  std::uint64_t version = 0; // newest version
  Time asOf;                 // latest time at which this is known to have been so

  bool operator==(const ConfigurationReading&) const = default;
};

// Tracks up to which time the configuration in force is known to have been the newest, so that a
// daemon can tell whether a key may have been withdrawn without its knowledge.
//
// A reading counts from the moment at which its request was sent: what was acknowledged before
// that moment is contained in the reply, however late the reply comes. A peer's reading counts from
// the moment at which the peer was asked, less the age that the peer named, so that neither the way
// nor a queue makes it seem newer than it is. Times are of a clock that goes on while the process
// is stopped or the host suspended: the first check after that already sees the lost time.
class ConfigurationFreshness
{
public:
  // A store that was restored from an older copy has lost versions that it acknowledged. What it
  // says counts only from this time after the first answer of a new era, within which the operator
  // has written them again. What a peer knows does not depend on it.
  static constexpr Duration kRestoreTime = Seconds(3);

  // A maximum age of zero turns the check off.
  explicit ConfigurationFreshness(Duration aMaximumAge = Duration::zero());

  bool IsRequired() const { return mMaximumAge > Duration::zero(); }
  Duration MaximumAge() const { return mMaximumAge; }
  // Takes an answer of the store into account. aEra is that of the store (see platform::Version),
  // aInForce the version in force now.
  void OnStoreReading(const ConfigurationReading& aReading, std::uint64_t aEra,
                      std::uint64_t aInForce, Time aNow);
  // Takes a peer's knowledge into account.
  void OnPeerReading(const ConfigurationReading& aReading, std::uint64_t aInForce);
  // Returns the latest time at which the configuration in force was the newest; nothing if unknown.
  std::optional<Time> NewestAsOf() const { return mNewestAsOf; }
  // Returns whether keys may be accepted: no version can have been acknowledged longer than the
  // maximum age ago without being in force here.
  bool IsFresh(Time aNow) const;

private:
  Duration mMaximumAge;
  std::optional<Time> mNewestAsOf;
  std::uint64_t mEra = 0; // of the store
  Time mCountsFrom{};     // answers of the store as of earlier times do not count
};

} // namespace masticstep::accounts
