#pragma once

#include "masticstep/spread/Spread.hpp"
#include "masticstep/testing/VirtualNetwork.hpp"

#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace masticstep {

using SpreadPayload = std::variant<SpreadMessage, ContentMessage>;

// One daemon's spread in a virtual-time run.
class SpreadNode : public testing::VirtualNode<SpreadPayload>
{
public:
  explicit SpreadNode(Spread aSpread)
    : mSpread(std::move(aSpread))
  {
  }

  Outgoing Take(SpreadActions aActions, Time aNow);
  Outgoing OnMessage(const std::string& aFrom, const SpreadPayload& aMessage, Time aNow) override;
  Outgoing OnTime(Time aNow) override;
  std::optional<Time> NextWakeUp() const override { return mSpread.NextWakeUp(); }

  Spread mSpread;
  std::vector<Entry> mChanges;
  std::vector<std::uint64_t> mGenerations; // in the order in which they came into force
  Time mLastGenerationAt;
};

// Daemons "dc0-0", "dc0-1", ... with fixed views; the first daemon of each data centre keeps the
// links to the first of the others.
class SpreadCluster
{
public:
  SpreadCluster(int aDataCentres, int aPerDataCentre, std::uint64_t aSeed);

  SpreadNode& At(const std::string& aName) { return *mNodes.at(aName); }
  void Publish(const std::string& aName, const EntryKey& aKey, const std::string& aValue);
  void PublishConfiguration(const std::string& aName, const ConfigurationBundle& aBundle);
  // Starts the daemon again with empty tables and the next start number as its first version.
  void Restart(const std::string& aName);
  // Tells all others that the daemons are gone or back.
  void SetGone(const std::vector<std::string>& aNames);
  std::string ValueAt(const std::string& aName, const EntryKey& aKey);
  // Returns how many running daemons hold the value for the key.
  std::size_t Holders(const EntryKey& aKey, const std::string& aValue);
  std::vector<std::string> Names() const;

  testing::VirtualNetwork<SpreadPayload> mNetwork;

private:
  void Start(const std::string& aName);
  void SetView(const std::string& aName, const std::vector<std::string>& aGone);

  int mDataCentres;
  int mPerDataCentre;
  std::uint64_t mStarts = 0;
  std::map<std::string, std::unique_ptr<SpreadNode>> mNodes;
};

ConfigurationBundle MakeBundle(std::uint64_t aGeneration,
                               const std::vector<std::string>& aContents);

} // namespace masticstep
