#pragma once

#include <compare>
#include <cstdint>
#include <optional>

namespace masticstep::dispatch {

// Order in which requests are served: by the priority of the client account if it has one, else by
// that of the route. Requests of the same account priority are ordered by route. 0 is the most
// urgent.
class RequestPriority
{
public:
  explicit RequestPriority(std::uint8_t aRoute = 0,
                           std::optional<std::uint8_t> aAccount = std::nullopt);

  // Returns the priority within an engine, from 0 to kLowestEngineLevel.
  std::uint8_t EngineLevel() const;
  std::strong_ordering operator<=>(const RequestPriority& aOther) const;
  bool operator==(const RequestPriority& aOther) const;

  static constexpr std::uint8_t kLowestEngineLevel = 9;

private:
  std::uint8_t mRoute;
  std::optional<std::uint8_t> mAccount;
};

} // namespace masticstep::dispatch
