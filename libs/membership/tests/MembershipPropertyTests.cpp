#include "Cluster.hpp"
#include "masticstep/testing/Test.hpp"

#include <algorithm>

using namespace masticstep;

namespace {

// Random fault of a simulation. The kind decides how the other fields are used; see InjectFault.
struct RandomFault
{
  unsigned kind = 0;
  unsigned first = 0;
  unsigned second = 0;
  unsigned seconds = 0;
};

constexpr unsigned kDaemonsPerDataCentre = 4;
constexpr unsigned kDataCentres = 2;
constexpr unsigned kFaultKinds = 7;

std::string DaemonName(unsigned aNumber)
{
  const unsigned n = aNumber % (kDaemonsPerDataCentre * kDataCentres);
  return "dc" + std::to_string(n / kDaemonsPerDataCentre) + "-" +
         std::to_string(n % kDaemonsPerDataCentre);
}

std::vector<RandomFault> GenerateFaults(std::uint64_t aSeed)
{
  Random random(aSeed);
  std::vector<RandomFault> faults(1 + random.Below(5));
  for (RandomFault& fault : faults) {
    fault = { static_cast<unsigned>(random.Below(kFaultKinds)),
              static_cast<unsigned>(random.Below(100)), static_cast<unsigned>(random.Below(100)),
              static_cast<unsigned>(1 + random.Below(15)) };
  }
  return faults;
}

// Injects the fault, runs the cluster for the duration of the fault and clears it.
void InjectFault(Cluster& aCluster, const RandomFault& aFault)
{
  const std::string first = DaemonName(aFault.first);
  const std::string second = DaemonName(aFault.second);
  const bool isRunning = std::ranges::count(aCluster.RunningDaemons(), first) > 0;
  switch (aFault.kind) {
    case 0: // one-way partition between two daemons
      aCluster.mNetwork.mIsCut = [=](const std::string& aFrom, const std::string& aTo) {
        return aFrom == first && aTo == second;
      };
      break;
    case 1: // the daemon receives nothing
      aCluster.mNetwork.mIsCut = [=](const std::string&, const std::string& aTo) {
        return aTo == first;
      };
      break;
    case 2: // one-way partition from one data centre to the others
      aCluster.mNetwork.mIsCut = [=](const std::string& aFrom, const std::string& aTo) {
        return DataCentreOf(aFrom) == DataCentreOf(first) &&
               DataCentreOf(aTo) != DataCentreOf(first);
      };
      break;
    case 3: // two-way partition at an arbitrary daemon
      aCluster.mNetwork.mIsCut = [=](const std::string& aFrom, const std::string& aTo) {
        return (aFrom < first) != (aTo < first);
      };
      break;
    case 4: // message loss
      aCluster.mNetwork.mLoss = 0.3;
      break;
    case 5: // paused daemon
      aCluster.mNetwork.Pause(first, Seconds(aFault.seconds));
      break;
    default: // killed and restarted daemon
      if (isRunning) {
        aCluster.Kill(first);
        aCluster.mNetwork.RunFor(Seconds(aFault.seconds));
        aCluster.Start(first, { "dc0-0", "dc1-0" });
      }
  }
  aCluster.mNetwork.RunFor(Seconds(aFault.seconds));
  aCluster.mNetwork.mLoss = 0;
  aCluster.mNetwork.mIsCut = [](const std::string&, const std::string&) { return false; };
}

} // namespace

// Guards against sequences of faults after which views stay different or a live daemon stays
// removed.
MASTICSTEP_TEST("views converge on the live daemons after any faults", "[membership][property]")
{
  testing::CheckProperty("views converge", [](std::uint64_t aSeed) {
    Cluster cluster(kDataCentres, kDaemonsPerDataCentre, aSeed);
    cluster.mNetwork.RunFor(Seconds(5));
    for (const RandomFault& fault : GenerateFaults(aSeed)) {
      InjectFault(cluster, fault);
    }
    // Reconnection tries one removed daemon per kReconnectInterval, in random order.
    cluster.mNetwork.RunFor(Seconds(120));
    RC_ASSERT(cluster.AllViewsEqual(cluster.RunningDaemons()));
  });
}

// Guards against a daemon that is a member again after its leave, because faults or delays let
// outdated records arrive late.
MASTICSTEP_TEST("no fault undoes a leave", "[membership][property][leave]")
{
  testing::CheckProperty("leave is final", [](std::uint64_t aSeed) {
    Cluster cluster(kDataCentres, kDaemonsPerDataCentre, aSeed);
    cluster.mNetwork.mDelay = [random = Random(aSeed)](const std::string&, const std::string&,
                                                       const MembershipMessage&) mutable {
      return Milliseconds(static_cast<std::int64_t>(1 + random.Below(400)));
    };
    cluster.mNetwork.RunFor(Seconds(8));
    cluster.Leave("dc0-2");
    cluster.mNetwork.RunFor(Seconds(1));
    cluster.Kill("dc0-2");
    const std::vector<RandomFault> faults = GenerateFaults(aSeed);
    for (const RandomFault& fault : faults) {
      if (fault.kind < 6) {
        InjectFault(cluster, fault);
      }
    }
    cluster.mNetwork.RunFor(Seconds(60));
    for (const std::string& name : cluster.RunningDaemons()) {
      bool hasLeft = false;
      for (const MemberRecord& change : cluster.At(name).mChanges) {
        if (change.name == HostName("dc0-2")) {
          RC_ASSERT(!hasLeft || change.state == MemberState::Left);
          hasLeft = hasLeft || change.state == MemberState::Left;
        }
      }
      RC_ASSERT(!cluster.HasInView(name, "dc0-2"));
    }
  });
}

// Guards against a merge result that depends on the order in which records arrive.
MASTICSTEP_TEST("tables that saw the same records are equal", "[membership][property]")
{
  testing::CheckProperty("merge is commutative", [](std::uint64_t aSeed) {
    Random random(aSeed);
    std::vector<MemberRecord> records(12);
    for (MemberRecord& record : records) {
      record.name = HostName(DaemonName(static_cast<unsigned>(random.Below(3))));
      record.address = std::to_string(random.Below(2));
      record.incarnation = random.Below(3);
      record.state = static_cast<MemberState>(random.Below(4));
    }
    MemberTable first;
    MemberTable second;
    for (std::size_t i = 0; i < records.size(); ++i) {
      first.Merge(records[i], Time());
      second.Merge(records[records.size() - 1 - i], Time());
    }
    RC_ASSERT(first.All() == second.All());
    RC_ASSERT(first.Digest() == second.Digest());
  });
}
