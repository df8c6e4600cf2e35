#include "FreshnessExchange.hpp"

#include "masticstep/net/Clock.hpp"
#include "masticstep/net/Sleep.hpp"
#include "masticstep/telemetry/Log.hpp"
#include "masticstep/wire/FreshnessMessage.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::relay {

using accounts::FreshnessSource;
using telemetry::Level;

namespace {

constexpr Duration kCheckInterval = Milliseconds(300);
constexpr Duration kRetryInterval = Milliseconds(500); // after a read that failed
// Peers of any role, in case the daemons that watch the store have lost it.
constexpr Receivers kOtherPeers{ 2, 1 };

} // namespace

FreshnessExchange::FreshnessExchange(std::shared_ptr<RelayState> aState,
                                     std::shared_ptr<WorkReportChannel> aChannel,
                                     ReadStore aReadStore, std::uint64_t aSeed)
  : mState(std::move(aState))
  , mChannel(std::move(aChannel))
  , mReadStore(std::move(aReadStore))
  , mRandom(aSeed)
  , mPolicy(mState->freshness.MaximumAge(), mRandom.Uniform())
{
}

net::Task<void> FreshnessExchange::Run()
{
  const std::shared_ptr<FreshnessExchange> self = shared_from_this();
  while (true) {
    co_await net::Sleep(kCheckInterval);
    NoteChange(net::Now());
    const FreshnessSource source = mPolicy.SourceAt(mState->freshness, net::Now());
    if (source == FreshnessSource::None || !mState->table) {
      continue;
    }
    AskPeers(source);
    if (source == FreshnessSource::Store) {
      const bool isRead = co_await mReadStore();
      if (!isRead) {
        co_await net::Sleep(kRetryInterval);
      }
    }
  }
}

void FreshnessExchange::AskPeers(FreshnessSource aSource)
{
  if (!mChannel) {
    return;
  }
  const std::string question = wire::EncodeFreshnessMessage({ net::Now() });
  mChannel->SendToStoreWatchers(question);
  if (aSource == FreshnessSource::Store) {
    mChannel->SendToFleet(question, kOtherPeers, mRandom);
  }
}

void FreshnessExchange::NoteChange(Time aNow)
{
  const bool isFresh = mState->freshness.IsFresh(aNow);
  if (std::exchange(mWasFresh, isFresh) == isFresh) {
    return;
  }
  mState->metrics.GetGauge({ "masticstep_keys_accepted", {}, {} })->Set(isFresh ? 1 : 0);
  const std::uint64_t version = mState->table ? mState->table->Version() : 0;
  if (isFresh) {
    telemetry::Log(Level::Info, "keys are accepted", { { "configuration", version } });
    return;
  }
  const Duration age = aNow - mState->freshness.NewestAsOf().value_or(aNow);
  telemetry::Log(Level::Warning, "keys are refused, since the configuration may be out of date",
                 { { "configuration", version }, { "age_ms", ToSeconds(age) * 1000.0 } });
}

std::string FreshnessExchange::Apply(std::string_view aDatagram)
{
  const Result<wire::FreshnessMessage, wire::WireError> message =
    wire::DecodeFreshnessMessage(aDatagram);
  if (!message || !mState->table) {
    return {};
  }
  const Time now = net::Now();
  const std::uint64_t version = mState->table->Version();
  if (!message->isAnswer) {
    if (!mState->freshness.NewestAsOf()) {
      return {};
    }
    const Duration age = now - *mState->freshness.NewestAsOf();
    return wire::EncodeFreshnessMessage({ message->asked, true, version, age });
  }
  // An answer to a question from the future is none of this daemon's.
  if (message->asked <= now) {
    mState->freshness.OnPeerReading({ message->configuration, message->asked - message->age },
                                    version);
    mState->storeSync.peersConfigurationVersion =
      std::max(mState->storeSync.peersConfigurationVersion, message->configuration);
  }
  return {};
}

} // namespace masticstep::relay
