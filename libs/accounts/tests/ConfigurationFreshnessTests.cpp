#include "masticstep/accounts/ConfigurationFreshness.hpp"

#include "masticstep/accounts/FreshnessPolicy.hpp"
#include "masticstep/base/Random.hpp"
#include "masticstep/testing/Test.hpp"

#include <algorithm>
#include <array>
#include <vector>

using namespace masticstep;
using namespace masticstep::accounts;

namespace {

constexpr Duration kLimit = Seconds(5);

Time At(double aSeconds)
{
  return Time{ Seconds(1000) } + FromSeconds(aSeconds);
}

// A store, daemons that read it and ask each other, and cuts and stops between them.
class Fleet
{
public:
  static constexpr std::size_t kDaemons = 4;

  explicit Fleet(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    for (Daemon& daemon : mDaemons) {
      daemon.freshness = ConfigurationFreshness(kLimit);
    }
  }

  // Plays some seconds. Returns whether a daemon accepted a key that had been withdrawn for longer
  // than the limit.
  bool Play()
  {
    bool isWrong = false;
    for (int step = 0; step < 600; ++step) {
      mNow += Milliseconds(100);
      if (mRandom.Chance(0.02) && mNow >= mRewriteAt) {
        mAcknowledged.push_back({ ++mVersion, mNow });
      }
      if (mRandom.Chance(0.002)) {
        Restore();
      }
      for (Daemon& daemon : mDaemons) {
        Act(daemon);
        isWrong = isWrong || Violates(daemon);
      }
    }
    return isWrong;
  }
  std::size_t AcceptedChecks() const { return mAcceptedChecks; }

private:
  struct Reply
  {
    ConfigurationReading reading;
    std::optional<std::uint64_t> era; // none of a peer's reply
    Time arrives;
  };
  struct Daemon
  {
    ConfigurationFreshness freshness;
    std::uint64_t inForce = 0;
    bool isCut = false;
    Time stoppedUntil{};
    std::vector<Reply> replies;
  };
  struct Change
  {
    std::uint64_t version;
    Time acknowledged;
  };

  // The store goes back by a version; the operator writes it again within the restore time.
  void Restore()
  {
    ++mEra;
    if (mVersion > 0 && mRewriteAt <= mNow) {
      mRewriteAt = mNow + FromSeconds(2.5 * mRandom.Uniform());
    }
  }
  std::uint64_t StoredVersion() const
  {
    return mNow < mRewriteAt && mVersion > 0 ? mVersion - 1 : mVersion;
  }

  void Act(Daemon& aDaemon)
  {
    if (mNow < aDaemon.stoppedUntil) {
      return;
    }
    if (mRandom.Chance(0.01)) {
      aDaemon.stoppedUntil = mNow + FromSeconds(8.0 * mRandom.Uniform());
    }
    if (mRandom.Chance(0.02)) {
      aDaemon.isCut = !aDaemon.isCut;
    }
    if (!aDaemon.isCut && mRandom.Chance(0.2)) {
      // The reply may come late, or never.
      const Time arrives = mNow + FromSeconds(6.0 * mRandom.Uniform() * mRandom.Uniform());
      aDaemon.replies.push_back({ { StoredVersion(), mNow }, mEra, arrives });
    }
    Daemon& peer = mDaemons[mRandom.Below(kDaemons)];
    if (&peer != &aDaemon && mNow >= peer.stoppedUntil && peer.freshness.NewestAsOf()) {
      const Duration age = mNow - *peer.freshness.NewestAsOf();
      const Time arrives = mNow + FromSeconds(3.0 * mRandom.Uniform());
      aDaemon.replies.push_back({ { peer.inForce, mNow - age }, std::nullopt, arrives });
    }
    TakeReplies(aDaemon);
  }

  void TakeReplies(Daemon& aDaemon)
  {
    for (const Reply& reply : aDaemon.replies) {
      if (reply.arrives > mNow) {
        continue;
      }
      if (!reply.era) {
        aDaemon.freshness.OnPeerReading(reply.reading, aDaemon.inForce);
        continue;
      }
      aDaemon.inForce = std::max(aDaemon.inForce, reply.reading.version);
      aDaemon.freshness.OnStoreReading(reply.reading, *reply.era, aDaemon.inForce, mNow);
    }
    std::erase_if(aDaemon.replies, [this](const Reply& aReply) { return aReply.arrives <= mNow; });
  }

  bool Violates(const Daemon& aDaemon)
  {
    if (mNow < aDaemon.stoppedUntil || !aDaemon.freshness.IsFresh(mNow)) {
      return false;
    }
    ++mAcceptedChecks;
    return std::any_of(mAcknowledged.begin(), mAcknowledged.end(), [&](const Change& aChange) {
      return aChange.version > aDaemon.inForce && mNow > aChange.acknowledged + kLimit;
    });
  }

  Random mRandom;
  std::array<Daemon, kDaemons> mDaemons;
  std::vector<Change> mAcknowledged;
  std::uint64_t mVersion = 0;
  std::uint64_t mEra = 0;
  Time mRewriteAt{};
  Time mNow = At(0.0);
  std::size_t mAcceptedChecks = 0;
};

} // namespace

// Guards against a withdrawn key that goes on being accepted: by a daemon that is cut off, stopped,
// told late or misinformed by a store that lost what it had acknowledged.
MASTICSTEP_TEST("no daemon accepts keys by a configuration that was replaced before the limit",
                "[accounts][freshness][failure]")
{
  std::size_t accepted = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    Fleet fleet(seed);
    CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), !fleet.Play());
    accepted += fleet.AcceptedChecks();
  }
  CHECK_TRUE(accepted > 100000); // daemons that refuse all keys would prove nothing
}

MASTICSTEP_TEST("a reading counts from when it was asked for, not from when it arrived",
                "[accounts][freshness]")
{
  ConfigurationFreshness freshness(kLimit);
  CHECK_FALSE(freshness.IsFresh(At(0.0)));
  freshness.OnStoreReading({ 7, At(1.0) }, 0, 7, At(4.0));
  CHECK_TRUE(freshness.IsFresh(At(5.9)));
  CHECK_FALSE(freshness.IsFresh(At(6.0)));
}

MASTICSTEP_TEST("a reading of another version does not renew the one in force",
                "[accounts][freshness]")
{
  ConfigurationFreshness freshness(kLimit);
  freshness.OnStoreReading({ 8, At(1.0) }, 0, 7, At(1.1));
  freshness.OnPeerReading({ 6, At(1.0) }, 7);
  CHECK_FALSE(freshness.IsFresh(At(1.2)));
}

MASTICSTEP_TEST("a restored store is believed once the operator has written again, a peer at once",
                "[accounts][freshness][failure]")
{
  ConfigurationFreshness freshness(kLimit);
  freshness.OnStoreReading({ 7, At(1.0) }, 1, 7, At(1.0));
  CHECK_FALSE(freshness.IsFresh(At(1.1)));
  freshness.OnPeerReading({ 7, At(0.5) }, 7);
  CHECK_TRUE(freshness.IsFresh(At(1.1)));
  freshness.OnStoreReading({ 7, At(4.0) }, 1, 7, At(4.1));
  CHECK_TRUE(freshness.IsFresh(At(8.9)));
}

MASTICSTEP_TEST("without a limit the configuration is always fresh enough", "[accounts][freshness]")
{
  CHECK_TRUE(ConfigurationFreshness().IsFresh(At(0.0)));
}

// Guards against a store that all daemons call, and against keys that are refused because the
// daemon that reads for the others has failed.
MASTICSTEP_TEST("peers are asked first, and the store long before keys are refused",
                "[accounts][freshness]")
{
  ConfigurationFreshness freshness(kLimit);
  for (const double spread : { 0.0, 0.5, 0.999 }) {
    const FreshnessPolicy policy(kLimit, spread);
    CHECK_TRUE(policy.SourceAt(freshness, At(0.0)) == FreshnessSource::Store);
    ConfigurationFreshness known(kLimit);
    known.OnStoreReading({ 1, At(0.0) }, 0, 1, At(0.0));
    CHECK_TRUE(policy.SourceAt(known, At(0.5)) == FreshnessSource::None);
    CHECK_TRUE(policy.SourceAt(known, At(0.9)) == FreshnessSource::Peers);
    // Two watches of the reading daemon, one after the other.
    CHECK_TRUE(policy.SourceAt(known, At(2.0 * ToSeconds(policy.WatchTime()))) ==
               FreshnessSource::Peers);
    CHECK_TRUE(policy.SourceAt(known, At(3.8)) == FreshnessSource::Store);
  }
  CHECK_TRUE(FreshnessPolicy(kLimit, 0.0).SourceAt(ConfigurationFreshness(), At(0.0)) ==
             FreshnessSource::None);
}
