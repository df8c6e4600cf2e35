#pragma once

#include "masticstep/base/Time.hpp"
#include "masticstep/spread/ConfigurationBundle.hpp"
#include "masticstep/spread/SpreadMessage.hpp"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace masticstep {

// A frame holds at most 256 KiB; a content of up to a megabyte is cut into chunks of this size.
constexpr std::size_t kContentChunkSize = 192U * 1024U;
constexpr std::size_t kMaximumContentSize = 1024U * 1024U;
// Without a chunk for this long, another peer is asked.
constexpr Duration kContentTimeout = Seconds(1);

struct ConfigurationActions
{
  std::vector<OutgoingSpreadMessage> sends;
  std::optional<ConfigurationBundle> ready; // a newer generation is here in whole

  bool operator==(const ConfigurationActions&) const = default;
};

// Takes each newer configuration generation from a peer that has it in whole, checks the contents
// against their digests, and then offers it to its own neighbours. Contents that did not change are
// not fetched again. The generation never goes back.
class ConfigurationSpread
{
public:
  ConfigurationActions Publish(ConfigurationBundle aBundle, Time aNow);
  ConfigurationActions OnMessage(const std::string& aFrom, const ContentMessage& aMessage,
                                 Time aNow);
  // The peer has this generation in whole.
  ConfigurationActions OnGeneration(const std::string& aFrom, std::uint64_t aGeneration, Time aNow);
  ConfigurationActions OnTime(Time aNow);
  void SetNeighbours(std::vector<std::string> aAddresses) { mNeighbours = std::move(aAddresses); }

  std::optional<Time> NextWakeUp() const;
  std::uint64_t Generation() const { return mCurrent.generation; }
  const ConfigurationBundle& Current() const { return mCurrent; }

private:
  // Generation that is being fetched.
  struct Fetch
  {
    ConfigurationBundle bundle;
    std::vector<std::string> missing; // digests, the last one is being fetched
    std::string partial;
    std::set<std::string> sources; // peers that have the generation in whole
    std::string source;
    Time deadline;
  };

  void OnNotice(const std::string& aFrom, const ContentMessage& aMessage, Time aNow,
                ConfigurationActions& aActions);
  void OnChunk(const std::string& aFrom, const ContentMessage& aMessage, Time aNow,
               ConfigurationActions& aActions);
  void AnswerAsk(const std::string& aFrom, const ContentMessage& aMessage,
                 ConfigurationActions& aActions) const;
  void AskNext(Time aNow, ConfigurationActions& aActions);
  void TryNextSource(Time aNow, ConfigurationActions& aActions);
  void Adopt(ConfigurationBundle aBundle, ConfigurationActions& aActions);
  ContentMessage Notice() const;

  ConfigurationBundle mCurrent;
  std::optional<Fetch> mFetch;
  std::vector<std::string> mNeighbours;
};

} // namespace masticstep
