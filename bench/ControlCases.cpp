#include "BenchCase.hpp"
#include "ControlFleet.hpp"
#include "masticstep/base/Hash.hpp"
#include "masticstep/wire/FrameCodec.hpp"

#include <algorithm>
#include <ctime>
#include <malloc.h>
#include <optional>
#include <utility>

namespace masticstep::bench {

namespace {

constexpr int kMeasuredSeconds = 60;

struct ControlCost
{
  double bytesPerSecond = 0.0; // sent by a daemon, mean
  double worstBytesPerSecond = 0.0;
  double framesPerSecond = 0.0;
  double cpuShare = 0.0;
  double memory = 0.0;
};

double CpuSeconds()
{
  return static_cast<double>(std::clock()) / static_cast<double>(CLOCKS_PER_SEC);
}

// Steady state of a fleet. The processor time includes the queue of the virtual network; it leaves
// out the kernel and TLS.
ControlCost MeasureControl(const ControlSettings& aSettings)
{
  const double before = static_cast<double>(mallinfo2().uordblks);
  ControlFleet fleet(aSettings);
  fleet.Settle();
  fleet.mSent.clear();
  fleet.mFrames = 0;
  const double start = CpuSeconds();
  fleet.mNetwork.RunFor(Seconds(kMeasuredSeconds));
  const double daemonSeconds = static_cast<double>(aSettings.daemons) * kMeasuredSeconds;
  ControlCost cost;
  cost.cpuShare = (CpuSeconds() - start) / daemonSeconds;
  cost.memory =
    (static_cast<double>(mallinfo2().uordblks) - before) / static_cast<double>(aSettings.daemons);
  for (const std::pair<const std::string, std::uint64_t>& sent : fleet.mSent) {
    const double bytes = static_cast<double>(sent.second);
    cost.bytesPerSecond += bytes / daemonSeconds;
    cost.worstBytesPerSecond = std::max(cost.worstBytesPerSecond, bytes / kMeasuredSeconds);
  }
  cost.framesPerSecond = static_cast<double>(fleet.mFrames) / daemonSeconds;
  return cost;
}

// What one daemon sends when it tells everything to everyone by itself: a heartbeat each second to
// all, the load of its engines and its usage to its data centre, its share of the summaries to all.
ControlCost MeasureFullMesh(const ControlSettings& aSettings)
{
  const double all = aSettings.daemons - 1;
  const double local = static_cast<double>(aSettings.daemons) / aSettings.dataCentres - 1;
  const double enginesEach = static_cast<double>(aSettings.engines) / aSettings.daemons;
  const double summariesEach = 6.0 * aSettings.dataCentres / aSettings.daemons;
  const auto frameOf = [](EntryKind aKind, std::size_t aValueSize) {
    SpreadMessage message;
    message.full = {
      { { aKind, "service-1/dc0" }, HostName("host-100"), 1000, {}, std::string(aValueSize, 'v') }
    };
    return message;
  };
  MembershipMessage heartbeat;
  heartbeat.sequence = 1000;
  const std::vector<std::pair<PeerMessage, double>> traffic = {
    { heartbeat, all },
    { frameOf(EntryKind::EngineLoad, 18), enginesEach * local },
    { frameOf(EntryKind::AccountUsage, 48), local / 5 },
    { frameOf(EntryKind::ServiceSummary, 32), summariesEach * all / 5 },
  };
  ControlCost cost;
  constexpr int kRepeats = 2000;
  for (const std::pair<PeerMessage, double>& item : traffic) {
    const std::string frame = *wire::EncodeFrame(ToWire(item.first));
    cost.bytesPerSecond += item.second * static_cast<double>(BytesOnNetwork(frame.size()));
    const double start = CpuSeconds();
    for (int i = 0; i < kRepeats; ++i) {
      wire::FrameDecoder decoder;
      decoder.Append(*wire::EncodeFrame(ToWire(item.first)));
      FromWire(**decoder.Next());
    }
    cost.cpuShare += item.second * (CpuSeconds() - start) / kRepeats;
  }
  return cost;
}

// Baselines of one metric; the fleet without pruning may be absent.
std::vector<Baseline> Baselines(double ControlCost::*aField, const ControlCost* aMesh,
                                const std::optional<ControlCost>& aUnpruned)
{
  std::vector<Baseline> baselines;
  if (aMesh != nullptr) {
    baselines.push_back({ "full_mesh", aMesh->*aField });
  }
  if (aUnpruned) {
    baselines.push_back({ "without_pruning", (*aUnpruned).*aField });
  }
  return baselines;
}

std::vector<Measurement> Report(const ControlCost& aCost, const ControlCost& aMesh,
                                const std::optional<ControlCost>& aUnpruned)
{
  return {
    { "bytes_per_s", aCost.bytesPerSecond, "B/s",
      Baselines(&ControlCost::bytesPerSecond, &aMesh, aUnpruned) },
    { "worst_bytes_per_s", aCost.worstBytesPerSecond, "B/s",
      Baselines(&ControlCost::worstBytesPerSecond, nullptr, aUnpruned) },
    { "frames_per_s", aCost.framesPerSecond, "1/s", {} },
    { "cpu_share", aCost.cpuShare, "cores", Baselines(&ControlCost::cpuShare, &aMesh, aUnpruned) },
    { "memory", aCost.memory, "B", {} },
  };
}

std::vector<Measurement> ControlCase(const ControlSettings& aSettings)
{
  ControlSettings flooding = aSettings;
  flooding.isPruning = false;
  return Report(MeasureControl(aSettings), MeasureFullMesh(aSettings), MeasureControl(flooding));
}

std::vector<Measurement> Control8()
{
  return ControlCase({ 8, 3, 21, true });
}

std::vector<Measurement> Control74()
{
  return ControlCase({ 74, 1, 120, true });
}

// Without the fleet that floods, which alone takes as long again; control_8 and control_74 have it.
std::vector<Measurement> Control370()
{
  const ControlSettings settings{ 370, 5, 600, true };
  return Report(MeasureControl(settings), MeasureFullMesh(settings), std::nullopt);
}

// Bytes that a daemon has sent since the counts were cleared, mean.
double MeanSent(const ControlFleet& aFleet)
{
  double sum = 0.0;
  for (const std::pair<const std::string, std::uint64_t>& sent : aFleet.mSent) {
    sum += static_cast<double>(sent.second);
  }
  return sum / static_cast<double>(aFleet.Nodes().size());
}

// What one more engine costs each daemon of its data centre, and one more daemon in the data centre
// with the same engines.
std::vector<Measurement> ControlSlopes()
{
  const ControlCost few = MeasureControl({ 74, 1, 60, true });
  const ControlCost many = MeasureControl({ 74, 1, 240, true });
  const ControlCost small = MeasureControl({ 37, 1, 60, true });
  constexpr double kEngines = 180.0;
  constexpr double kDaemons = 37.0;
  return {
    { "bytes_per_s_per_engine", (many.bytesPerSecond - few.bytesPerSecond) / kEngines, "B/s", {} },
    { "cpu_per_engine", (many.cpuShare - few.cpuShare) / kEngines, "cores", {} },
    { "memory_per_engine", (many.memory - few.memory) / kEngines, "B", {} },
    { "bytes_per_s_per_daemon", (few.bytesPerSecond - small.bytesPerSecond) / kDaemons, "B/s", {} },
    { "cpu_per_daemon", (few.cpuShare - small.cpuShare) / kDaemons, "cores", {} },
    { "memory_per_daemon", (few.memory - small.memory) / kDaemons, "B", {} },
  };
}

// From the publication at one daemon to the last one that has it in whole.
std::vector<Measurement> ConfigSpread370()
{
  ControlFleet fleet({ 370, 5, 600, true });
  fleet.Settle();
  ConfigurationBundle bundle;
  bundle.generation = 1;
  for (int service = 0; service < 6; ++service) {
    const std::string content(service == 0 ? kMaximumContentSize : 20000,
                              static_cast<char>('a' + service));
    bundle.contents[Sha256Hex(content)] = std::make_shared<const std::string>(content);
  }
  fleet.mSent.clear();
  fleet.mNetwork.RunFor(Seconds(20));
  const double steady = MeanSent(fleet);
  const Time start = fleet.mNetwork.Now();
  fleet.mSent.clear();
  fleet.mNetwork.Send(
    fleet.NameOf(7),
    fleet.At(7).Take(fleet.At(7).mMachine.PublishConfiguration(bundle, start), start));
  fleet.mNetwork.RunFor(Seconds(20));
  Duration worst{};
  double missing = 0.0;
  for (const std::pair<const std::string, std::unique_ptr<ControlNode>>& node : fleet.Nodes()) {
    const bool hasIt = node.second->mMachine.Entries().Configuration().generation == 1;
    missing += hasIt ? 0.0 : 1.0;
    worst = std::max(worst, hasIt ? node.second->mGenerationAt - start : Seconds(20));
  }
  return { { "seconds", ToSeconds(worst), "s", { { "target", 5.0 } } },
           { "bytes_per_change", MeanSent(fleet) - steady, "B", {} },
           { "daemons_without", missing, "daemons", {} } };
}

// From the kill to the removal by every daemon of its data centre, over 20 kills.
std::vector<Measurement> DetectionKilled74()
{
  constexpr int kKills = 20;
  ControlFleet fleet({ 74, 1, 120, true });
  fleet.Settle();
  std::vector<double> seconds;
  for (int kill = 0; kill < kKills; ++kill) {
    const int victim = 10 + 3 * kill;
    const HostName name("host-" + std::to_string(victim));
    fleet.mNetwork.RunFor(Milliseconds(10000 + 137 * kill));
    const Time start = fleet.mNetwork.Now();
    fleet.Kill(victim);
    fleet.mNetwork.RunFor(Seconds(10));
    Duration worst{};
    for (const std::pair<const std::string, std::unique_ptr<ControlNode>>& node : fleet.Nodes()) {
      const std::map<HostName, Time>::const_iterator it = node.second->mRemovedAt.find(name);
      worst =
        std::max(worst, it == node.second->mRemovedAt.end() ? Seconds(10) : it->second - start);
    }
    seconds.push_back(ToSeconds(worst));
  }
  std::sort(seconds.begin(), seconds.end());
  return { { "median_seconds", seconds[kKills / 2], "s", { { "target", 5.0 } } },
           { "worst_seconds", seconds.back(), "s", { { "target", 5.0 } } } };
}

const CaseRegistration kControl8({ "control_8", Control8 });
const CaseRegistration kControl74({ "control_74", Control74 });
const CaseRegistration kControl370({ "control_370", Control370 });
const CaseRegistration kControlSlopes({ "control_slopes", ControlSlopes });
const CaseRegistration kConfigSpread({ "config_spread_370", ConfigSpread370 });
const CaseRegistration kDetection({ "detection_killed_74", DetectionKilled74 });

} // namespace

} // namespace masticstep::bench
