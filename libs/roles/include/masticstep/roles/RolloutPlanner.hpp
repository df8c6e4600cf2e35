#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace masticstep::roles {

struct RolloutOptions
{
  std::string targetVersion;
  double weightBytes = 0.0;
  // The weight store's rate limit for this data centre.
  double storeBytesPerSecond = 1e9;
  // Share of the model's engines that may be out of service at once.
  double maximumShare = 0.2;
};

enum class RolloutActionKind : std::uint8_t
{
  Drain,
  LoadVersion
};

struct RolloutAction
{
  RolloutActionKind kind = RolloutActionKind::Drain;
  EngineId engine;

  bool operator==(const RolloutAction&) const = default;
};

// Replaces a model's version engine by engine. Loads start no faster than the weight store serves
// them, and the last ready engine of the model is never drained. Not thread-safe.
class RolloutPlanner
{
public:
  explicit RolloutPlanner(RolloutOptions aOptions);

  // aRequests are those that run or wait, from a report taken after the last action.
  void OnEngine(const EngineId& aEngine, const std::string& aVersion, bool aIsReady,
                std::uint32_t aRequests);
  void OnEngineGone(const EngineId& aEngine);
  void OnLoaded(const EngineId& aEngine, const std::string& aVersion);
  void OnLoadFailed(const EngineId& aEngine);
  std::vector<RolloutAction> Plan(Time aNow);
  // Time at which the next load may start, if one is waiting for the store.
  std::optional<Time> NextWakeUp() const;
  bool IsDone() const;
  // The only ready engine has the old version; operators must add one or accept the outage.
  bool IsBlocked() const;
  std::size_t Ready() const;

private:
  enum class Phase : std::uint8_t
  {
    Serving,
    Draining,
    Loading
  };
  struct EngineState
  {
    std::string version;
    Phase phase = Phase::Serving;
    bool isReady = true;
    std::uint32_t requests = 0;
  };

  std::size_t MaximumOut() const;

  RolloutOptions mOptions;
  Time mStoreFree{};
  std::map<EngineId, EngineState> mEngines;
};

} // namespace masticstep::roles
