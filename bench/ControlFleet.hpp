#pragma once

#include "masticstep/peering/PeerStateMachine.hpp"
#include "masticstep/spread/EngineLoadValue.hpp"
#include "masticstep/testing/VirtualNetwork.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace masticstep::bench {

struct ControlSettings
{
  int daemons = 8;
  int dataCentres = 1;
  int engines = 21;
  bool isPruning = true;
};

// One daemon in virtual time. Messages travel as encoded frames, so that the codec is part of the
// measured processor time.
class ControlNode : public testing::VirtualNode<std::string>
{
public:
  ControlNode(PeerStateMachine aMachine, int aNumber, int aDataCentre,
              const ControlSettings& aSettings);

  Outgoing Start(Time aNow);
  Outgoing OnMessage(const std::string& aFrom, const std::string& aFrame, Time aNow) override;
  Outgoing OnTime(Time aNow) override;
  std::optional<Time> NextWakeUp() const override;
  Outgoing Take(const PeerActions& aActions, Time aNow);

  PeerStateMachine mMachine;
  Time mGenerationAt;
  std::map<HostName, Time> mRemovedAt;

private:
  // What the gateway publishes: the load of own engines each second, usage every 5 s, summaries.
  void PublishDue(Time aNow, Outgoing& aOutgoing);
  void Publish(const EntryKey& aKey, std::string aValue, Time aNow, Outgoing& aOutgoing);
  bool IsOwner(const std::string& aKey);
  void PublishLoad(int aEngine, Time aNow, Outgoing& aOutgoing);

  // Load of an engine as polled, with 8 requests/s arriving for 4 s each (600 engines share 4,900
  // requests/s), and as published last.
  struct PolledEngine
  {
    EngineLoadValue polled;
    EngineLoadValue published;
    Time publishedAt;
  };

  int mNumber;
  int mDataCentre;
  ControlSettings mSettings;
  Random mRandom;
  Time mNextPublication;
  std::uint64_t mSeconds = 0;
  std::map<int, PolledEngine> mPolled;
  // Owned keys by the view for which they were worked out, as the gateway keeps them.
  std::map<std::string, bool> mOwned;
  std::uint64_t mOwnedView = 0;
};

// Bytes on the network for one frame: TLS record and TCP/IP headers, and an acknowledgement for
// every second segment, at least one.
std::size_t BytesOnNetwork(std::size_t aFrameSize);

// All daemons of an installation in virtual time: 2 regions, 0.5 ms within a data centre, 1 ms
// between data centres, 20 ms between regions, links of 100 Mbit/s.
class ControlFleet
{
public:
  explicit ControlFleet(const ControlSettings& aSettings);

  // Starts all daemons and runs until the views have settled.
  void Settle();
  ControlNode& At(int aNumber) { return *mNodes.at(NameOf(aNumber)); }
  std::string NameOf(int aNumber) const;
  void Kill(int aNumber);
  const std::map<std::string, std::unique_ptr<ControlNode>>& Nodes() const { return mNodes; }

  testing::VirtualNetwork<std::string> mNetwork;
  std::map<std::string, std::uint64_t> mSent;     // bytes by daemon
  std::map<std::string, std::uint64_t> mReceived; // bytes by daemon
  std::uint64_t mFrames = 0;

private:
  int DataCentreOf(int aNumber) const { return aNumber % mSettings.dataCentres; }

  ControlSettings mSettings;
  std::map<std::string, std::unique_ptr<ControlNode>> mNodes;
};

} // namespace masticstep::bench
