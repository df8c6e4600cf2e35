#include "OrderLoad.hpp"

#include "masticstep/base/Random.hpp"
#include "masticstep/orders/OrderMachine.hpp"
#include "masticstep/platform/VirtualObjectStore.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <functional>
#include <map>
#include <string>

namespace masticstep::bench {

namespace {

using platform::ConditionalWrite;
using platform::PlatformReply;
using platform::PlatformStatus;

constexpr std::uint64_t kWritesPerSecond = 400; // "several hundred writes a second"
constexpr std::int64_t kWallStartMs = 1796356800000;
constexpr Duration kDrain = Seconds(5);

// Calls functions at their times, together with the events of the store.
class Timeline
{
public:
  explicit Timeline(std::uint64_t aSeed)
    : random(aSeed)
  {
    store.Faults().writesPerSecond = kWritesPerSecond;
  }

  void At(Time aTime, std::function<void()> aFunction)
  {
    mEvents.emplace(aTime, std::move(aFunction));
  }

  // aOwnWakeUp and aOnTime drive a machine that has timers of its own.
  void Run(Time aEnd, const std::function<std::optional<Time>()>& aOwnWakeUp,
           const std::function<void()>& aOnTime)
  {
    for (;;) {
      std::optional<Time> next = aOwnWakeUp();
      const std::optional<Time> arrival = store.NextWakeUp();
      if (arrival && (!next || *arrival < *next)) {
        next = arrival;
      }
      if (!mEvents.empty() && (!next || mEvents.begin()->first < *next)) {
        next = mEvents.begin()->first;
      }
      if (!next || *next > aEnd) {
        return;
      }
      store.AdvanceTo(std::max(*next, store.Now()));
      while (!mEvents.empty() && mEvents.begin()->first <= store.Now()) {
        const std::function<void()> function = std::move(mEvents.begin()->second);
        mEvents.erase(mEvents.begin());
        function();
      }
      aOnTime();
    }
  }

  Duration BackendTime() { return Milliseconds(20 + static_cast<std::int64_t>(random.Below(181))); }

  platform::VirtualObjectStore store;
  Random random;

private:
  std::multimap<Time, std::function<void()>> mEvents;
};

std::string KeyAt(Time aNow, std::uint64_t aNumber)
{
  const std::chrono::sys_time<std::chrono::milliseconds> wall{ std::chrono::milliseconds(
    kWallStartMs + aNow.time_since_epoch() / Milliseconds(1)) };
  const std::chrono::sys_days day = std::chrono::floor<std::chrono::days>(wall);
  const std::chrono::year_month_day date{ day };
  const std::chrono::hh_mm_ss time{ std::chrono::floor<std::chrono::seconds>(wall - day) };
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%04d%02u%02uT%02d%02d%02dZ-%012llu",
                static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
                static_cast<unsigned>(date.day()), static_cast<int>(time.hours().count()),
                static_cast<int>(time.minutes().count()), static_cast<int>(time.seconds().count()),
                static_cast<unsigned long long>(aNumber));
  return text.data();
}

std::vector<Time> Arrivals(const OrderLoadOptions& aOptions, Random& aRandom)
{
  std::vector<Time> times;
  Time now{};
  for (;;) {
    now += FromSeconds(aRandom.Exponential(1.0 / aOptions.ordersPerSecond));
    if (now >= Time{ aOptions.span }) {
      return times;
    }
    times.push_back(now);
  }
}

OrderLoadResult Finish(Timeline& aTimeline, OrderLoadResult aResult)
{
  aResult.writes = aTimeline.store.Platform().Counters().writes;
  aResult.reads = aTimeline.store.Platform().Counters().reads;
  for (const platform::InMemoryPlatform::Objects::value_type& item :
       aTimeline.store.Platform().All()) {
    aResult.largestObject =
      std::max(aResult.largestObject, static_cast<double>(item.second.body.size()));
  }
  std::sort(aResult.addedMs.begin(), aResult.addedMs.end());
  return aResult;
}

class ShardLoad
{
public:
  explicit ShardLoad(const OrderLoadOptions& aOptions)
    : mOptions(aOptions)
    , mTimeline(aOptions.seed)
  {
    for (std::size_t i = 0; i < aOptions.daemons; ++i) {
      orders::OrderOptions options;
      options.processNonce = "0123456789abcde" + std::to_string(i);
      options.daemon = HostName{ "regina-" + std::to_string(i) };
      mMachines.emplace_back(options);
    }
  }

  OrderLoadResult Run()
  {
    std::uint64_t id = 0;
    for (const Time arrival : Arrivals(mOptions, mTimeline.random)) {
      mTimeline.At(arrival, [this, number = ++id] { Start(number); });
    }
    mResult.orders = id;
    mTimeline.Run(
      Time{ mOptions.span + kDrain }, [this] { return NextWakeUp(); },
      [this] {
        for (std::size_t i = 0; i < mMachines.size(); ++i) {
          const std::optional<Time> due = mMachines[i].NextWakeUp();
          if (due && *due <= Now()) {
            Take(i, mMachines[i].OnTime(Now()));
          }
        }
      });
    return Finish(mTimeline, mResult);
  }

private:
  Time Now() const { return mTimeline.store.Now(); }

  std::optional<Time> NextWakeUp() const
  {
    std::optional<Time> next;
    for (const orders::OrderMachine& machine : mMachines) {
      const std::optional<Time> time = machine.NextWakeUp();
      next = time && (!next || *time < *next) ? time : next;
    }
    return next;
  }

  void Start(std::uint64_t aNumber)
  {
    const std::size_t daemon = aNumber * 2654435761U % mMachines.size();
    mStarted[aNumber] = Now();
    const orders::WallTime wall{ kWallStartMs + Now().time_since_epoch() / Milliseconds(1) };
    Take(daemon, mMachines[daemon].Start({ RequestId{ aNumber }, ServiceName{ "ordering" },
                                           AccountName{ "dealer-12" }, KeyAt(Now(), aNumber),
                                           std::string(64, 'd'), Now() + Seconds(5), wall },
                                         Now()));
  }

  void Take(std::size_t aDaemon, orders::OrderActions aActions)
  {
    for (platform::PlatformRequest& request : aActions.requests) {
      mTimeline.store.Submit(std::move(request), [this, aDaemon](const PlatformReply& aReply) {
        Take(aDaemon, mMachines[aDaemon].OnPlatformReply(aReply, Now()));
      });
    }
    for (const orders::OrderDispatch& dispatch : aActions.dispatches) {
      const Duration busy = mTimeline.BackendTime();
      mBusy[dispatch.id.value] = busy;
      mTimeline.At(Now() + busy, [this, aDaemon, id = dispatch.id] {
        Take(aDaemon, mMachines[aDaemon].OnBackendReply({ id, orders::BackendStatus::Responded, 201,
                                                          "application/json",
                                                          std::string(mOptions.answerBytes, 'a') },
                                                        Now()));
      });
    }
    for (const orders::OrderResponse& answer : aActions.responses) {
      if (answer.kind == orders::ResponseKind::Executed) {
        ++mResult.executed;
        const Duration added = Now() - mStarted[answer.id.value] - mBusy[answer.id.value];
        mResult.addedMs.push_back(ToSeconds(added) * 1000.0);
      }
    }
  }

  OrderLoadOptions mOptions;
  Timeline mTimeline;
  std::vector<orders::OrderMachine> mMachines;
  std::map<std::uint64_t, Time> mStarted;
  std::map<std::uint64_t, Duration> mBusy;
  OrderLoadResult mResult;
};

class ObjectLoad
{
public:
  explicit ObjectLoad(const OrderLoadOptions& aOptions)
    : mOptions(aOptions)
    , mTimeline(aOptions.seed)
  {
  }

  OrderLoadResult Run()
  {
    std::uint64_t id = 0;
    for (const Time arrival : Arrivals(mOptions, mTimeline.random)) {
      mTimeline.At(arrival, [this, number = ++id] { Claim(number); });
    }
    mResult.orders = id;
    mTimeline.Run(
      Time{ mOptions.span + kDrain }, [] { return std::optional<Time>(); }, [] {});
    return Finish(mTimeline, mResult);
  }

private:
  void Claim(std::uint64_t aNumber)
  {
    const platform::ObjectKey key{ "orders/" + std::to_string(aNumber) };
    const Time start = mTimeline.store.Now();
    mTimeline.store.Submit(
      { 0, ConditionalWrite{ key, std::nullopt, std::string(200, 'c') } },
      [this, key, start](const PlatformReply& aReply) {
        if (aReply.status != PlatformStatus::Done) {
          return; // refused as not run
        }
        mResult.addedMs.push_back(ToSeconds(mTimeline.store.Now() - start) * 1000.0);
        ++mResult.executed;
        mTimeline.At(mTimeline.store.Now() + mTimeline.BackendTime(),
                     [this, key, version = *aReply.version] { Record(key, version); });
      });
  }

  void Record(const platform::ObjectKey& aKey, platform::Version aVersion)
  {
    mTimeline.store.Submit(
      { 0, ConditionalWrite{ aKey, aVersion, std::string(200 + mOptions.answerBytes, 'o') } },
      [](const PlatformReply&) {});
  }

  OrderLoadOptions mOptions;
  Timeline mTimeline;
  OrderLoadResult mResult;
};

} // namespace

OrderLoadResult RunShardOrders(const OrderLoadOptions& aOptions)
{
  return ShardLoad(aOptions).Run();
}

OrderLoadResult RunObjectOrders(const OrderLoadOptions& aOptions)
{
  return ObjectLoad(aOptions).Run();
}

} // namespace masticstep::bench
