// Daemons that share their evidence about crashes, on virtual time.
#include "masticstep/quarantine/PromptQuarantine.hpp"

#include "masticstep/base/Random.hpp"
#include "masticstep/testing/Test.hpp"

#include <queue>

using namespace masticstep;
using namespace masticstep::quarantine;

namespace {

constexpr std::uint64_t kBad = 0xdead5;
constexpr std::uint64_t kFirstParts = 6; // ids 1 to 6
constexpr std::uint64_t kSharedParts = 40;
constexpr Duration kStep = Milliseconds(10);
constexpr Duration kSendInterval = Milliseconds(200);
constexpr Duration kSpreadTime = Seconds(1);
constexpr Duration kRepeatInterval = Seconds(5);
constexpr std::size_t kReceivers = 3;
constexpr std::size_t kDataCentres = 3;
constexpr double kLostDatagrams = 0.02;
constexpr double kSoundRequestsPerSecond = 7.0; // of each daemon
constexpr double kBadRequestsPerSecond = 12.0;
// Time from arrival until the engine begins to answer.
constexpr Duration kPrefillTime = Milliseconds(150);
constexpr Duration kContact = Seconds(4);

// What crashes engines in a simulation.
struct Fault
{
  std::vector<SuspectPart> suspects; // of the requests that crash engines
  std::uint64_t id = 0;              // the one of them that the daemons must find
  std::size_t crashesToNotice = 5;
};

const Fault kBadPart{ { { 1, 0 }, { kBad, 1 } }, kBad, 5 };
// Its parts are those of sound requests.
const Fault kBadRequest{
  { { kBad, kRequestOfCaller }, { kBad + 1, kRequest }, { 1, 0 }, { 100, 1 } },
  kBad,
  3
};

struct Result
{
  std::size_t crashes = 0;
  std::size_t late = 0; // sent with the fault later than kContact after the crashes to notice
  std::size_t refusedSound = 0;
};

// A fleet of daemons before engines that crash on one prompt part or request. Sound requests are on
// each engine that crashes, and most of them are answered.
class Simulation
{
public:
  Simulation(const Fault& aFault, std::size_t aDaemons, std::uint64_t aSeed)
    : mFault(aFault)
    , mDaemons(aDaemons)
    , mRandom(aSeed)
  {
  }

  Result Run(Duration aLength)
  {
    for (mNow = Time{ Seconds(100) }; mNow < Time{ Seconds(100) } + aLength; mNow += kStep) {
      SoundRequests();
      BadRequests();
      Gossip();
    }
    return mResult;
  }

private:
  PromptQuarantine& AnyDaemon() { return mDaemons[mRandom.Below(mDaemons.size())]; }
  std::vector<std::uint64_t> SoundParts()
  {
    return { 1 + mRandom.Below(kFirstParts), 100 + mRandom.Below(kSharedParts) };
  }

  void SoundRequests()
  {
    mSoundDue += kSoundRequestsPerSecond * ToSeconds(kStep) * static_cast<double>(mDaemons.size());
    for (; mSoundDue >= 1.0; mSoundDue -= 1.0) {
      SoundRequest();
    }
  }

  void SoundRequest()
  {
    PromptQuarantine& daemon = AnyDaemon();
    std::vector<std::uint64_t> parts = SoundParts();
    parts.push_back(NextDigest());
    if (daemon.QuarantinedUntil(parts, mNow)) {
      ++mResult.refusedSound;
    } else {
      daemon.OnAnswered(parts, mNow);
    }
  }

  void BadRequests()
  {
    PromptQuarantine& daemon = AnyDaemon();
    const bool isSent = mRandom.Chance(kBadRequestsPerSecond * ToSeconds(kStep)) &&
                        !daemon.QuarantinedUntil({ mFault.id }, mNow);
    if (isSent) {
      mResult.late += mNoticed && mNow > *mNoticed + kContact ? 1 : 0;
      mSent.push({ mNow + kPrefillTime, &daemon });
    }
    while (!mSent.empty() && mSent.front().first <= mNow) {
      CrashEngine(*mSent.front().second);
      mSent.pop();
    }
  }

  void CrashEngine(PromptQuarantine& aDaemon)
  {
    const std::string process = "engine-" + std::to_string(++mResult.crashes);
    if (mResult.crashes == mFault.crashesToNotice) {
      mNoticed = mNow;
    }
    aDaemon.OnCrash({ process, mNow, mFault.suspects }, mNow);
    for (int i = 0; i < 3; ++i) {
      const std::vector<std::uint64_t> parts = SoundParts();
      PromptQuarantine& other = AnyDaemon();
      if (!other.IsSound(parts[1], mNow)) {
        other.OnCrash({ process,
                        mNow,
                        { { NextDigest(), kRequestOfCaller }, { parts[0], 0 }, { parts[1], 1 } } },
                      mNow);
      }
    }
  }

  // As the daemons do: new evidence to several peers of the data centre and to one of another, and
  // all of it to single ones now and then.
  void Gossip()
  {
    const bool isRepeat = mNow.time_since_epoch() % kRepeatInterval == Duration::zero();
    if (mNow.time_since_epoch() % kSendInterval != Duration::zero()) {
      return;
    }
    for (std::size_t i = 0; i < mDaemons.size(); ++i) {
      const Evidence fresh = mDaemons[i].ToShare(mNow, mNow - kSpreadTime);
      for (std::size_t n = 0; n < kReceivers; ++n) {
        SendTo(i % kDataCentres, fresh);
      }
      SendTo(mRandom.Below(kDataCentres), fresh);
      if (isRepeat) {
        SendTo(i % kDataCentres, mDaemons[i].ToShare(mNow));
      }
    }
  }

  void SendTo(std::size_t aDataCentre, const Evidence& aEvidence)
  {
    const std::size_t peers = (mDaemons.size() - 1 - aDataCentre) / kDataCentres + 1;
    const std::size_t receiver = aDataCentre + kDataCentres * mRandom.Below(peers);
    if (!aEvidence.IsEmpty() && !mRandom.Chance(kLostDatagrams)) {
      mDaemons[receiver].Merge(aEvidence, mNow);
    }
  }

  // Sound requests do not come again.
  std::uint64_t NextDigest() { return ++mDigest; }

  const Fault mFault;
  std::vector<PromptQuarantine> mDaemons;
  Random mRandom;
  std::uint64_t mDigest = 1ULL << 40U;
  Time mNow{};
  double mSoundDue = 0.0;
  std::optional<Time> mNoticed;
  std::queue<std::pair<Time, PromptQuarantine*>> mSent;
  Result mResult;
};

void CheckFleet(const Fault& aFault, std::size_t aDaemons, Duration aLength)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Simulation simulation(aFault, aDaemons, seed);
    const Result result = simulation.Run(aLength);
    CHECK_TRUE(result.crashes >= 3);
    CHECK_TRUE(result.late <= 3);
    CHECK_EQUAL(std::size_t{ 0 }, result.refusedSound);
  }
}

} // namespace

// Guards against requests that keep crashing engines since each daemon sees few of the crashes.
MASTICSTEP_TEST("seven daemons together find the part that crashes engines",
                "[quarantine][fleet][failure]")
{
  CheckFleet(kBadPart, 7, Seconds(20));
}

// Guards against a request that keeps crashing engines as it comes again at any daemon, and against
// blaming the parts that it shares with others.
MASTICSTEP_TEST("seven daemons together find the request that crashes engines",
                "[quarantine][fleet][failure]")
{
  CheckFleet(kBadRequest, 7, Seconds(20));
}

MASTICSTEP_TEST("three hundred daemons together find the request that crashes engines",
                "[quarantine][fleet][failure]")
{
  CheckFleet(kBadRequest, 300, Seconds(12));
}

MASTICSTEP_TEST("three hundred daemons together find the part that crashes engines",
                "[quarantine][fleet][failure]")
{
  CheckFleet(kBadPart, 300, Seconds(12));
}
