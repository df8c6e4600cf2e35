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
  // Rate limit of the weight store for this data centre.
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

// Rolls out a new version of a model engine by engine. Loads start no faster than the weight store
// can serve them, and the last ready engine of the model is never drained. Not thread-safe.
class RolloutPlanner
{
public:
  explicit RolloutPlanner(RolloutOptions aOptions);

  // aRequests counts running and waiting requests, from a report taken after the last action.
  void OnEngineStatus(const EngineId& aEngine, const std::string& aVersion, bool aIsReady,
                      std::uint32_t aRequests);
  void OnEngineRemoved(const EngineId& aEngine);
  void OnLoaded(const EngineId& aEngine, const std::string& aVersion);
  void OnLoadFailed(const EngineId& aEngine);
  std::vector<RolloutAction> Plan(Time aNow);
  // Returns when the next load may start, if an idle engine waits for the weight store.
  std::optional<Time> NextWakeUp() const;
  bool IsDone() const;
  // Returns whether the only ready engine has the old version, so that operators must add an engine
  // or accept an outage.
  bool IsBlocked() const;
  std::size_t ReadyCount() const;

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

  std::size_t MaximumUnavailable() const;

  RolloutOptions mOptions;
  Time mNextLoadStart{};
  std::map<EngineId, EngineState> mEngines;
};

} // namespace masticstep::roles
