#include "BenchCase.hpp"

#include "masticstep/authority/EngineOrderStateMachine.hpp"
#include "masticstep/authority/LeaseManager.hpp"
#include "masticstep/platform/VirtualObjectStore.hpp"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>

namespace masticstep::bench {

namespace {

using authority::EngineOrderActions;
using authority::EngineReply;
using authority::OrderTransmission;
using platform::PlatformReply;

constexpr Duration kStep = Milliseconds(10);
constexpr Duration kOrderTime = Seconds(3); // of the engine; a role change takes seconds
constexpr Duration kLongestPause = Seconds(60);
constexpr Duration kPauseStep = Milliseconds(100);

// Engine that knows only the last order's id and, if it checks them, the newest fencing number.
class Engine
{
public:
  explicit Engine(bool aRefuses)
    : mRefuses(aRefuses)
  {
  }

  EngineReply Accept(const OrderTransmission& aSend, Time aNow)
  {
    if (mRefuses && aSend.fencing < mFencing) {
      return EngineReply::Refused;
    }
    if (aSend.order.id != mLast) {
      mHarmed = mHarmed || aSend.fencing < mFencing || (!mLast.empty() && aNow < mBusyUntil);
      mLast = aSend.order.id;
      mBusyUntil = aNow + kOrderTime;
    }
    mFencing = std::max(mFencing, aSend.fencing);
    return aNow < mBusyUntil ? EngineReply::Running : EngineReply::Done;
  }
  // Returns whether an order of a fenced holder took effect or two orders conflicted.
  bool IsHarmed() const { return mHarmed; }

private:
  bool mRefuses;
  std::uint64_t mFencing = 0;
  std::string mLast;
  Time mBusyUntil{};
  bool mHarmed = false;
};

// One process with its lease keeper and its order machine for the engine.
class Daemon
{
public:
  Daemon(const std::string& aName, platform::VirtualObjectStore& aStore, Engine& aEngine,
         bool aSaysEngineRefuses)
    : mName(aName)
    , mStore(aStore)
    , mEngine(aEngine)
    , mKeeper({ authority::LeaseKey(DataCentreName{ "dc" }, "roles"), HostName{ aName }, aName,
                Seconds(10) })
    , mMachine({ EngineId{ "e" }, aSaysEngineRefuses, aName, Seconds(10), Seconds(1) })
  {
  }

  void Step()
  {
    if (IsPaused()) {
      return;
    }
    if (mHeld) {
      // The pause ended; what was about to be sent is sent without another check.
      const OrderTransmission send = *std::exchange(mHeld, std::nullopt);
      Reply(send, mEngine.Accept(send, Now()));
    }
    Submit(mKeeper.OnTime(Now()));
    Take(mMachine.OnTime(mKeeper.Status(), Now()));
    if (mWantsOrder && mMachine.IsIdle() && authority::IsLeaseValid(mKeeper.Status(), Now())) {
      mWantsOrder = false;
      Take(mMachine.Start({ mName, "set_role", "x" }, mKeeper.Status(), Now()));
    }
  }

  bool IsHolder() const { return authority::IsLeaseValid(mKeeper.Status(), Now()); }
  void GiveOrder() { mWantsOrder = true; }
  // The process stops for this long between its last check and the first byte of its next order.
  void PauseBeforeSend(Duration aPause) { mPause = aPause; }

private:
  Time Now() const { return mStore.Now(); }
  bool IsPaused() const { return mPausedUntil && Now() < *mPausedUntil; }

  void Submit(std::optional<platform::PlatformRequest> aRequest)
  {
    if (!aRequest) {
      return;
    }
    mStore.Submit(std::move(*aRequest), [this](const PlatformReply& aReply) {
      if (!IsPaused()) {
        Submit(mKeeper.OnPlatformReply(aReply, Now()));
      }
    });
  }

  void Take(EngineOrderActions aActions)
  {
    if (aActions.request) {
      mStore.Submit(std::move(*aActions.request), [this](const PlatformReply& aReply) {
        if (!IsPaused()) {
          Take(mMachine.OnPlatformReply(aReply, mKeeper.Status(), Now()));
        }
      });
    }
    if (!aActions.send) {
      return;
    }
    if (mPause) {
      mPausedUntil = Now() + *std::exchange(mPause, std::nullopt);
      mHeld = std::move(aActions.send);
      return;
    }
    Reply(*aActions.send, mEngine.Accept(*aActions.send, Now()));
  }

  void Reply(const OrderTransmission& aSend, EngineReply aReply)
  {
    Take(mMachine.OnEngineReply(aSend.number, aReply, mKeeper.Status(), Now()));
  }

  std::string mName;
  platform::VirtualObjectStore& mStore;
  Engine& mEngine;
  authority::LeaseManager mKeeper;
  authority::EngineOrderStateMachine mMachine;
  bool mWantsOrder = false;
  std::optional<Duration> mPause;
  std::optional<Time> mPausedUntil;
  std::optional<OrderTransmission> mHeld;
};

// Lets the first daemon pause just before it sends; the second one takes over and gives its order.
bool IsHarmful(Duration aPause, Duration aPhase, bool aEngineRefuses, bool aSaysEngineRefuses)
{
  platform::VirtualObjectStore store;
  Engine engine(aEngineRefuses);
  Daemon first("a", store, engine, aSaysEngineRefuses);
  Daemon second("b", store, engine, aSaysEngineRefuses);
  first.PauseBeforeSend(aPause);
  const Time orderAt = Time{ Seconds(12) + aPhase };
  const Time end = orderAt + aPause + Seconds(60);
  for (Time now{}; now < end; now += kStep) {
    store.AdvanceTo(now);
    first.Step();
    if (now >= Time{ Seconds(2) }) {
      second.Step();
    }
    if (now == orderAt) {
      first.GiveOrder();
      second.GiveOrder();
    }
  }
  return engine.IsHarmed();
}

// Shortest pause that harms, over the phases of the lease's renewal; the longest one tried if none
// does.
double ShortestHarmfulPause(bool aEngineRefuses, bool aSaysEngineRefuses)
{
  Duration shortest = kLongestPause;
  for (Duration phase{}; phase < Seconds(4); phase += Milliseconds(400)) {
    for (Duration pause{}; pause < shortest; pause += kPauseStep) {
      if (IsHarmful(pause, phase, aEngineRefuses, aSaysEngineRefuses)) {
        shortest = pause;
      }
    }
  }
  return ToSeconds(shortest);
}

std::vector<Measurement> MeasurePauseWindow()
{
  const double ignoring = ShortestHarmfulPause(false, false);
  const double noWait = ShortestHarmfulPause(false, true);
  const double checking = ShortestHarmfulPause(true, true);
  return {
    { "shortest_harmful_pause_ignoring_engine",
      ignoring,
      "s",
      { { "no_wait_for_deadline", noWait } } },
    { "shortest_harmful_pause_checking_engine", checking, "s (60: none up to 60 s)", {} },
  };
}

const CaseRegistration kPauseWindow({ "authority_pause_window", MeasurePauseWindow });

} // namespace

} // namespace masticstep::bench
