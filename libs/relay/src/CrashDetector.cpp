#include "CrashDetector.hpp"

#include "masticstep/net/Clock.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace masticstep::relay {

using quarantine::EngineCrash;
using quarantine::SuspectPart;

namespace {

constexpr Duration kConnectTimeout = Milliseconds(250);
// An engine that runs does not close an idle connection within this time.
constexpr Duration kStaysOpenTime = Milliseconds(100);
// Answers of a crashed engine break off within this time.
constexpr Duration kConfirmedLifetime = Seconds(5);

// Returns why a new connection cannot be opened or does not stay open, or nullopt if it does. A
// proxy in front of an engine may accept connections that it cannot pass on, and then close them.
net::Task<std::optional<net::NetError>> TryConnect(std::shared_ptr<net::ConnectionPool> aPool,
                                                   net::HostPort aAddress)
{
  Result<net::ConnectionPool::Lease, net::NetError> lease =
    co_await aPool->AcquireFresh(aAddress, kConnectTimeout);
  if (!lease) {
    co_return lease.error();
  }
  const Result<void, net::NetError> greeting = co_await (*lease)->AwaitUnrequested(kStaysOpenTime);
  (*lease)->Close();
  const bool isClosed = !greeting && (greeting.error().kind == net::NetErrorKind::Closed ||
                                      greeting.error().kind == net::NetErrorKind::Reset);
  co_return isClosed ? std::optional<net::NetError>(greeting.error()) : std::nullopt;
}

std::string ProcessOf(const dispatch::Backend& aEngine)
{
  return aEngine.id.Text() + "@" + std::to_string(aEngine.startedAtMs);
}

} // namespace

CrashDetector::CrashDetector(net::Executor aExecutor, std::shared_ptr<net::ConnectionPool> aPool,
                             quarantine::PromptQuarantine& aQuarantine,
                             telemetry::Metrics& aMetrics)
  : mExecutor(std::move(aExecutor))
  , mPool(std::move(aPool))
  , mQuarantine(aQuarantine)
  , mMetrics(aMetrics)
{
}

void CrashDetector::OnBrokenAnswer(const dispatch::Backend& aEngine,
                                   std::vector<SuspectPart> aSuspects)
{
  const Time now = net::Now();
  std::erase_if(aSuspects, [now, this](const SuspectPart& aSuspect) {
    return mQuarantine.IsSound(aSuspect.id, now);
  });
  if (aSuspects.empty()) {
    return;
  }
  const std::string process = ProcessOf(aEngine);
  const auto confirmed = mConfirmed.find(process);
  if (confirmed != mConfirmed.end()) {
    mQuarantine.OnCrash({ process, confirmed->second, std::move(aSuspects) }, now);
    return;
  }
  const auto [it, isNew] = mUnconfirmed.try_emplace(process);
  it->second.insert(it->second.end(), aSuspects.begin(), aSuspects.end());
  if (isNew) {
    boost::asio::co_spawn(
      mExecutor,
      [self = shared_from_this(), aEngine, crash = EngineCrash{ process, now, {} }] {
        return self->Confirm(aEngine, crash);
      },
      boost::asio::detached);
  }
}

net::Task<void> CrashDetector::Confirm(dispatch::Backend aEngine, EngineCrash aCrash)
{
  const net::HostPort address{ aEngine.address.ip, aEngine.address.port };
  const std::optional<net::NetError> problem = co_await TryConnect(mPool, address);
  aCrash.suspects = std::move(mUnconfirmed[aCrash.process]);
  mUnconfirmed.erase(aCrash.process);
  if (!problem) {
    co_return;
  }
  const Time now = net::Now();
  std::erase_if(mConfirmed,
                [now](const auto& aItem) { return aItem.second + kConfirmedLifetime < now; });
  mConfirmed[aCrash.process] = aCrash.at;
  mMetrics.GetCounter({ "masticstep_engine_crashes_total", {}, {} })->Add();
  telemetry::Log(telemetry::Level::Warning, "engine crashed",
                 { { "backend", aEngine.id.Text() },
                   { "problem", net::ToString(*problem) },
                   { "suspected_parts", static_cast<std::uint64_t>(aCrash.suspects.size()) } });
  mQuarantine.OnCrash(aCrash, now);
}

} // namespace masticstep::relay
