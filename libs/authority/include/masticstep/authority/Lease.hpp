#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/platform/ObjectKey.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace masticstep::authority {

// Content of a lease object.
struct Lease
{
  HostName holder;
  std::string nonce;         // identifies the write, to recognize it after a lost reply
  std::uint64_t fencing = 0; // fencing token; increases with every change of the holder
  Duration duration{};       // after a release, the pause before the next holder

  auto operator<=>(const Lease&) const = default;
};

// Returns leases/{data_centre}/{role}.
platform::ObjectKey LeaseKey(const DataCentreName& aDataCentre, std::string_view aRole);

std::string EncodeLease(const Lease& aLease);
// Returns nothing if the text is not the content of a lease object.
std::optional<Lease> ParseLease(std::string_view aText);

// Returns a fencing token below all those that are assigned in an era of the store (see
// platform::Version), and above those of earlier eras, which a restored store may have lost.
constexpr std::uint64_t FencingBeforeEra(std::uint64_t aEra)
{
  constexpr unsigned kTokenBits = 32;
  return aEra << kTokenBits;
}

// Lease as its holder knows it. Check it with IsLeaseValid just before each action.
struct LeaseStatus
{
  std::uint64_t fencing = 0;
  Time expiry; // on the holder's own clock; in the past if the lease is not held

  auto operator<=>(const LeaseStatus&) const = default;
};

// Returns whether the lease is held and has not expired.
constexpr bool IsLeaseValid(const LeaseStatus& aStatus, Time aNow)
{
  return aStatus.fencing != 0 && aNow < aStatus.expiry;
}

} // namespace masticstep::authority
