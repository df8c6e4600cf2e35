#include "DutyRunner.hpp"

#include "StoreCall.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/HttpClient.hpp"
#include "masticstep/net/Sleep.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::relay {

using telemetry::Level;

namespace {

constexpr Duration kCheckInterval = Milliseconds(200);
constexpr Duration kNeedExpiry = Seconds(5); // of what a data centre has reported
// Connecting and answering of one call. The lease must be valid for longer.
constexpr net::FetchLimits kCallLimits{ Milliseconds(300), Milliseconds(800), 65536 };
constexpr Duration kCallTime = kCallLimits.connect + kCallLimits.total + Milliseconds(100);
const std::string kReportsKey = "masticstep-usage/reports";

} // namespace

DutyRunner::DutyRunner(std::shared_ptr<RelayState> aState,
                       std::shared_ptr<platform::ObjectStore> aStore,
                       std::shared_ptr<control::EngineAuthority> aAuthority,
                       std::shared_ptr<const DutyCodec> aCodec, DutySettings aSettings)
  : mState(std::move(aState))
  , mStore(std::move(aStore))
  , mAuthority(std::move(aAuthority))
  , mCodec(std::move(aCodec))
  , mSettings(std::move(aSettings))
  , mPool(net::ConnectionPool::Create())
{
}

std::optional<std::uint64_t> DutyRunner::Fencing() const
{
  const authority::LeaseStatus lease = mAuthority->Lease();
  if (!authority::IsLeaseValid(lease, net::Now() + kCallTime)) {
    return std::nullopt;
  }
  return lease.fencing;
}

Duration DutyRunner::CallInterval() const
{
  // Usage and orders share the rate.
  constexpr double kLowestRate = 0.1;
  return FromSeconds(2.0 / std::max(mSettings.callsPerSecond, kLowestRate));
}

net::Task<std::optional<unsigned>> DutyRunner::Call(net::HttpRequest aRequest)
{
  net::HostPort address = *mSettings.platform;
  net::FetchLimits limits = kCallLimits;
  const Result<net::HttpResponse, net::FetchError> response =
    co_await net::Fetch(*mPool, std::move(address), std::move(aRequest), limits);
  if (!response) {
    telemetry::Log(Level::Warning, "duty call without an answer",
                   { { "problem", net::ToString(response.error().error) } });
    mState->metrics.GetCounter({ "masticstep_duty_calls_total", "result", "no_answer" })->Add();
    co_return std::nullopt;
  }
  mState->metrics
    .GetCounter({ "masticstep_duty_calls_total", "result", std::to_string(response->status) })
    ->Add();
  co_return response->status;
}

net::Task<void> DutyRunner::RunUsage()
{
  const std::shared_ptr<DutyRunner> self = shared_from_this();
  duties::UsageReporter reporter(
    duties::UsageOptions{ platform::ObjectKey{ kReportsKey }, mSettings.usageWindow });
  std::uint64_t term = 0;
  while (true) {
    co_await net::Sleep(std::max(kCheckInterval, CallInterval()));
    const std::optional<std::uint64_t> fencing = Fencing();
    if (!fencing || !mSettings.platform) {
      continue;
    }
    if (std::exchange(term, *fencing) != *fencing) {
      reporter.BeginTerm(mState->duties.clock.At(net::Now()));
    }
    co_await ReportUsage(reporter);
  }
}

net::Task<void> DutyRunner::ReportUsage(duties::UsageReporter& aReporter)
{
  const auto now = [this] { return mState->duties.clock.At(net::Now()); };
  duties::UsageReporter::Actions actions = aReporter.OnTime(mState->duties.byDataCentre, now());
  if (actions.request) {
    const std::uint64_t number = actions.request->number;
    platform::PlatformReply reply =
      co_await CallStore(*mStore, mState->executor, mNextCall++, std::move(actions.request->call));
    reply.number = number;
    const duties::WindowNumber known = aReporter.FirstKnownWindow();
    aReporter.OnPlatformReply(reply, now());
    if (aReporter.FirstKnownWindow() > known) {
      telemetry::Log(
        Level::Warning, "store may have lost usage reports",
        { { "store_era", reply.era }, { "first_known_window", aReporter.FirstKnownWindow() } });
    }
  }
  if (!actions.send) {
    co_return;
  }
  const duties::WindowNumber window = actions.send->window;
  const std::optional<std::uint64_t> fencing = Fencing();
  duties::SendOutcome outcome = duties::SendOutcome::Unknown;
  if (fencing) {
    net::HttpRequest request = mCodec->EncodeUsage(*actions.send, *fencing);
    const std::optional<unsigned> status = co_await Call(std::move(request));
    outcome = status ? mCodec->DecodeUsageAnswer(*status) : duties::SendOutcome::Unknown;
    telemetry::Log(Level::Info, "usage reported",
                   { { "window", window },
                     { "accounts", static_cast<std::uint64_t>(actions.send->counts.size()) },
                     { "fencing", *fencing },
                     { "status", static_cast<std::uint64_t>(status.value_or(0)) } });
  }
  aReporter.OnSent(window, outcome, now());
}

std::optional<double> DutyRunner::DemandFor(const dispatch::ServiceTraits& aService,
                                            Time aNow) const
{
  dispatch::StageNeed total;
  for (const auto& [dataCentre, price] : aService.scaling->prices) {
    const auto report = mState->duties.needs.find(dataCentre);
    if (report == mState->duties.needs.end() || report->second.receivedAt + kNeedExpiry < aNow) {
      return std::nullopt;
    }
    const auto found = report->second.needs.find(aService.name);
    if (found != report->second.needs.end()) {
      total += found->second;
    }
  }
  return mState->stageDemand.BusyEngines(total, aNow);
}

net::Task<void> DutyRunner::RunEngineOrders()
{
  const std::shared_ptr<DutyRunner> self = shared_from_this();
  std::uint64_t term = 0;
  while (true) {
    co_await net::Sleep(std::max(kCheckInterval, CallInterval()));
    const std::optional<std::uint64_t> fencing = Fencing();
    if (!fencing || !mSettings.platform || !mState->table || !mState->directory.IsLoaded()) {
      continue;
    }
    if (std::exchange(term, *fencing) != *fencing) {
      mPlanners.clear();
    }
    const std::shared_ptr<const dispatch::RouteTable> table = mState->table;
    for (const dispatch::ServiceTraits& service : table->Services()) {
      if (service.scaling) {
        co_await OrderEngines(service);
      }
    }
  }
}

net::Task<void> DutyRunner::OrderEngines(const dispatch::ServiceTraits& aService)
{
  scaling::EnginePlanner& planner =
    mPlanners.try_emplace(aService.name, aService.name, *aService.scaling).first->second;
  planner.SetTraits(*aService.scaling);
  while (true) {
    const scaling::SupplyByDataCentre supply =
      scaling::CountEngines(mState->directory.Backends(), aService.name);
    const Time now = net::Now();
    const std::optional<scaling::EngineOrder> order =
      planner.Next(supply, DemandFor(aService, now), now);
    LogPlan(aService, planner, supply);
    const std::optional<std::uint64_t> fencing = Fencing();
    if (!order || !fencing) {
      co_return;
    }
    net::HttpRequest request = mCodec->EncodeOrder(*order, *fencing);
    const std::optional<unsigned> status = co_await Call(std::move(request));
    const scaling::OrderOutcome outcome =
      status ? mCodec->DecodeOrderAnswer(*status) : scaling::OrderOutcome::Unknown;
    planner.OnOutcome(*order, outcome, net::Now());
    telemetry::Log(Level::Info, "engines ordered",
                   { { "service", order->service.Text() },
                     { "data_centre", order->dataCentre.Text() },
                     { "kind", std::string(scaling::ToString(order->kind)) },
                     { "count", order->count },
                     { "reason", std::string(scaling::ToString(planner.Reason())) },
                     { "fencing", *fencing },
                     { "status", static_cast<std::uint64_t>(status.value_or(0)) } });
    if (outcome != scaling::OrderOutcome::Accepted) {
      co_return;
    }
    co_await net::Sleep(CallInterval());
  }
}

void DutyRunner::LogPlan(const dispatch::ServiceTraits& aService,
                         const scaling::EnginePlanner& aPlanner,
                         const scaling::SupplyByDataCentre& aSupply)
{
  std::uint32_t reserved = 0;
  std::uint32_t interruptible = 0;
  for (const auto& [dataCentre, supply] : aSupply) {
    reserved += supply.reserved;
    interruptible += supply.interruptible;
  }
  const double price = aPlanner.PricePerSecond(aSupply);
  const std::string& service = aService.name.Text();
  mState->metrics.GetGauge({ "masticstep_engines_reserved", "service", service })->Set(reserved);
  mState->metrics.GetGauge({ "masticstep_engines_interruptible", "service", service })
    ->Set(interruptible);
  constexpr double kThousandths = 1000.0;
  mState->metrics.GetGauge({ "masticstep_engines_price_thousandths", "service", service })
    ->Set(static_cast<std::int64_t>(price * kThousandths));
  if (mLoggedPlans[aService.name] == aPlanner.Plan()) {
    return;
  }
  mLoggedPlans[aService.name] = aPlanner.Plan();
  std::uint32_t wantedReserved = 0;
  std::uint32_t wantedInterruptible = 0;
  for (const auto& [dataCentre, wanted] : aPlanner.Plan()) {
    wantedReserved += wanted.reserved;
    wantedInterruptible += wanted.interruptible;
  }
  telemetry::Log(Level::Info, "engine plan changed",
                 { { "service", service },
                   { "reason", std::string(scaling::ToString(aPlanner.Reason())) },
                   { "demand", DemandFor(aService, net::Now()).value_or(0.0) },
                   { "wanted_reserved", wantedReserved },
                   { "wanted_interruptible", wantedInterruptible },
                   { "present_reserved", reserved },
                   { "present_interruptible", interruptible },
                   { "price_per_second", price } });
}

} // namespace masticstep::relay
