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

// Simulated daemon that runs Spread in virtual time and records the changes that it reports.
class SpreadNode : public testing::VirtualNode<SpreadPayload>
{
public:
  explicit SpreadNode(Spread aSpread)
    : mSpread(std::move(aSpread))
  {
  }

  Outgoing RecordActions(SpreadActions aActions, Time aNow);
  Outgoing OnMessage(const std::string& aFrom, const SpreadPayload& aMessage, Time aNow) override;
  Outgoing OnTime(Time aNow) override;
  std::optional<Time> NextWakeUp() const override { return mSpread.NextWakeUp(); }

  Spread mSpread;
  std::vector<Entry> mChanges;
  std::vector<std::uint64_t> mGenerations; // in order of activation
  Time mLastGenerationAt;
};

// Simulated daemons "dc0-0", "dc0-1", ... with fixed views. The first daemon of each data centre is
// linked to the first daemons of the others.
class SpreadCluster
{
public:
  SpreadCluster(int aDataCentres, int aPerDataCentre, std::uint64_t aSeed);

  SpreadNode& At(const std::string& aName) { return *mNodes.at(aName); }
  void Publish(const std::string& aName, const EntryKey& aKey, const std::string& aValue);
  void PublishConfiguration(const std::string& aName, const ConfigurationBundle& aBundle);
  // Restarts the daemon with empty tables. The versions of its new entries start above those that
  // it published before.
  void Restart(const std::string& aName);
  // Sets the daemons that are missing from all views; all others are present.
  void SetRemoved(const std::vector<std::string>& aNames);
  std::string ValueAt(const std::string& aName, const EntryKey& aKey);
  // Returns the number of daemons that have the value for the key.
  std::size_t CountHolders(const EntryKey& aKey, const std::string& aValue);
  std::vector<std::string> Names() const;

  testing::VirtualNetwork<SpreadPayload> mNetwork;

private:
  void Start(const std::string& aName);
  void SetView(const std::string& aName, const std::vector<std::string>& aRemoved);

  int mDataCentres;
  int mPerDataCentre;
  std::uint64_t mStarts = 0;
  std::map<std::string, std::unique_ptr<SpreadNode>> mNodes;
};

ConfigurationBundle MakeBundle(std::uint64_t aGeneration,
                               const std::vector<std::string>& aContents);

} // namespace masticstep
