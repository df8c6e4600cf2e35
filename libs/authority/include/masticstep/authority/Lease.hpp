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
  std::string nonce;         // of the write, by which a lost answer is settled
  std::uint64_t fencing = 0; // grows by one with every change of the holder
  Duration duration{};       // zero after a release

  auto operator<=>(const Lease&) const = default;
};

// Returns leases/{data_centre}/{role}.
platform::ObjectKey LeaseKey(const DataCentreName& aDataCentre, std::string_view aRole);

std::string EncodeLease(const Lease& aLease);
// Returns nothing if the text is not the content of a lease object.
std::optional<Lease> ParseLease(std::string_view aText);

// What a holder may rely on. Compared with the time just before each act.
struct LeaseStatus
{
  std::uint64_t fencing = 0;
  Time until; // on the holder's own clock; in the past if the lease is not held

  auto operator<=>(const LeaseStatus&) const = default;
};

// Returns whether the lease still covers this time.
constexpr bool IsLeaseValid(const LeaseStatus& aView, Time aNow)
{
  return aView.fencing != 0 && aNow < aView.until;
}

} // namespace masticstep::authority
