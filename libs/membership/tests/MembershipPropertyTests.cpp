#include "Cluster.hpp"
#include "masticstep/testing/Test.hpp"

#include <algorithm>

using namespace masticstep;

namespace {

// One random fault of a run. What it means depends on the kind.
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

std::string NameOf(unsigned aNumber)
{
  const unsigned n = aNumber % (kDaemonsPerDataCentre * kDataCentres);
  return "dc" + std::to_string(n / kDaemonsPerDataCentre) + "-" +
         std::to_string(n % kDaemonsPerDataCentre);
}

std::vector<RandomFault> DrawFaults(std::uint64_t aSeed)
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

// Applies the fault for its time and ends it.
void Apply(Cluster& aCluster, const RandomFault& aFault)
{
  const std::string first = NameOf(aFault.first);
  const std::string second = NameOf(aFault.second);
  const bool isRunning = std::ranges::count(aCluster.Running(), first) > 0;
  switch (aFault.kind) {
    case 0: // one-way cut between two daemons
      aCluster.mNetwork.mIsCut = [=](const std::string& aFrom, const std::string& aTo) {
        return aFrom == first && aTo == second;
      };
      break;
    case 1: // the daemon hears nobody
      aCluster.mNetwork.mIsCut = [=](const std::string&, const std::string& aTo) {
        return aTo == first;
      };
      break;
    case 2: // data centres cut one way
      aCluster.mNetwork.mIsCut = [=](const std::string& aFrom, const std::string& aTo) {
        return DataCentreOf(aFrom) == DataCentreOf(first) &&
               DataCentreOf(aTo) != DataCentreOf(first);
      };
      break;
    case 3: // any split of the daemons
      aCluster.mNetwork.mIsCut = [=](const std::string& aFrom, const std::string& aTo) {
        return (aFrom < first) != (aTo < first);
      };
      break;
    case 4:
      aCluster.mNetwork.mLoss = 0.3;
      break;
    case 5:
      aCluster.mNetwork.Pause(first, Seconds(aFault.seconds));
      break;
    default: // killed and started again
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

// Guards against any order of faults after which views differ or a live daemon stays removed.
MASTICSTEP_TEST("views converge on the live daemons after any faults", "[membership][property]")
{
  testing::CheckProperty("views converge", [](std::uint64_t aSeed) {
    Cluster cluster(kDataCentres, kDaemonsPerDataCentre, aSeed);
    cluster.mNetwork.RunFor(Seconds(5));
    for (const RandomFault& fault : DrawFaults(aSeed)) {
      Apply(cluster, fault);
    }
    // Removed daemons are tried one every kReconnectInterval, in random order.
    cluster.mNetwork.RunFor(Seconds(120));
    RC_ASSERT(cluster.AllSee(cluster.Running()));
  });
}

// Guards against a leave that any mix of faults, delays and older messages undoes.
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
    const std::vector<RandomFault> faults = DrawFaults(aSeed);
    for (const RandomFault& fault : faults) {
      if (fault.kind < 6) {
        Apply(cluster, fault);
      }
    }
    cluster.mNetwork.RunFor(Seconds(60));
    for (const std::string& name : cluster.Running()) {
      bool hasLeft = false;
      for (const MemberRecord& change : cluster.At(name).mChanges) {
        if (change.name == HostName("dc0-2")) {
          RC_ASSERT(!hasLeft || change.state == MemberState::Left);
          hasLeft = hasLeft || change.state == MemberState::Left;
        }
      }
      RC_ASSERT(!cluster.Sees(name, "dc0-2"));
    }
  });
}

// Guards against merging that depends on the order in which records arrive.
MASTICSTEP_TEST("tables that saw the same records are equal", "[membership][property]")
{
  testing::CheckProperty("merge is commutative", [](std::uint64_t aSeed) {
    Random random(aSeed);
    std::vector<MemberRecord> records(12);
    for (MemberRecord& record : records) {
      record.name = HostName(NameOf(static_cast<unsigned>(random.Below(3))));
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
