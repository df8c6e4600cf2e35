#pragma once

#include "masticstep/base/Time.hpp"
#include "masticstep/spread/ConfigurationBundle.hpp"
#include "masticstep/spread/SpreadMessage.hpp"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace masticstep {

// A frame holds at most 256 KiB, so contents of up to kMaximumContentSize are sent in chunks of
// this size.
constexpr std::size_t kContentChunkSize = 192U * 1024U;
constexpr std::size_t kMaximumContentSize = 1024U * 1024U;
// Time without a chunk after which another peer is tried.
constexpr Duration kChunkTimeout = Seconds(1);

struct ConfigurationActions
{
  std::vector<OutgoingSpreadMessage> sends;
  // Newer generation that was fetched completely or published.
  std::optional<ConfigurationBundle> ready;

  bool operator==(const ConfigurationActions&) const = default;
};

// Distributes configuration generations between peers. Fetches each newer generation from a peer
// that has it completely, verifies the contents against their digests, activates it and announces
// it to the neighbours. Unchanged contents are not fetched again. The active generation never
// decreases.
class ConfigurationSpread
{
public:
  ConfigurationActions Publish(ConfigurationBundle aBundle, Time aNow);
  ConfigurationActions OnMessage(const std::string& aFrom, const ContentMessage& aMessage,
                                 Time aNow);
  // Reports that the peer has the generation completely.
  ConfigurationActions OnGeneration(const std::string& aFrom, std::uint64_t aGeneration, Time aNow);
  ConfigurationActions OnTime(Time aNow);
  void SetNeighbours(std::vector<std::string> aAddresses) { mNeighbours = std::move(aAddresses); }

  std::optional<Time> NextWakeUp() const;
  std::uint64_t Generation() const { return mCurrent.generation; }
  const ConfigurationBundle& Current() const { return mCurrent; }

private:
  // Fetch in progress.
  struct Fetch
  {
    ConfigurationBundle bundle;
    std::vector<std::string> missing; // digests; the last one is being fetched
    std::string partial;
    std::set<std::string> sources; // peers that have the generation completely
    std::string source;
    Time deadline;
  };

  void OnNotice(const std::string& aFrom, const ContentMessage& aMessage, Time aNow,
                ConfigurationActions& aActions);
  void OnChunk(const std::string& aFrom, const ContentMessage& aMessage, Time aNow,
               ConfigurationActions& aActions);
  void SendChunk(const std::string& aFrom, const ContentMessage& aMessage,
                 ConfigurationActions& aActions) const;
  void RequestNextChunk(Time aNow, ConfigurationActions& aActions);
  void TryNextSource(Time aNow, ConfigurationActions& aActions);
  void Activate(ConfigurationBundle aBundle, ConfigurationActions& aActions);
  ContentMessage Notice() const;

  ConfigurationBundle mCurrent;
  std::optional<Fetch> mFetch;
  std::vector<std::string> mNeighbours;
};

} // namespace masticstep
