#include "DutyExchange.hpp"

#include "ServiceNeeds.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/Sleep.hpp"

#include <utility>

namespace masticstep::relay {

using duties::WindowNumber;

namespace {

constexpr Duration kReportInterval = Milliseconds(700);
// Windows before the current one that a daemon, and a data centre, report again and again.
constexpr WindowNumber kRepeatedWindows = 2;
constexpr WindowNumber kKeptWindows = 12;

// Accounts in one datagram, which bounds its size. Receivers merge the counts of several.
constexpr std::size_t kAccountsPerDatagram = 1000;

// Appends the counts in parts of at most kAccountsPerDatagram accounts; one part if there are none.
void AppendParts(std::vector<wire::UsageWindow>& aParts, WindowNumber aWindow,
                 const duties::AccountCounts& aCounts)
{
  aParts.push_back({ aWindow, {} });
  for (const auto& [account, count] : aCounts) {
    if (aParts.back().counts.size() == kAccountsPerDatagram) {
      aParts.push_back({ aWindow, {} });
    }
    aParts.back().counts.push_back({ account, count });
  }
}

} // namespace

DutyExchange::DutyExchange(std::shared_ptr<RelayState> aState,
                           std::shared_ptr<WorkReportChannel> aChannel,
                           std::shared_ptr<control::EngineAuthority> aAuthority,
                           DataCentreName aDataCentre)
  : mState(std::move(aState))
  , mChannel(std::move(aChannel))
  , mAuthority(std::move(aAuthority))
  , mDataCentre(std::move(aDataCentre))
{
}

net::Task<void> DutyExchange::Run()
{
  const std::shared_ptr<DutyExchange> self = shared_from_this();
  while (true) {
    const Time now = net::Now();
    mState->duties.clock.OnOwnReading(net::TimeOfDay(), now);
    if (mState->duties.windows) {
      const WindowNumber current = mState->duties.windows->At(mState->duties.clock.At(now));
      mState->duties.byHost.Prune(current - kKeptWindows);
      mState->duties.byDataCentre.Prune(current - kKeptWindows);
    }
    ReportOwn();
    if (mState->storeSync.isStorePoller) {
      ReportDataCentre();
    }
    co_await net::Sleep(kReportInterval);
  }
}

void DutyExchange::ReportOwn()
{
  DutyState& duties = mState->duties;
  if (!mChannel || !duties.windows) {
    return;
  }
  const WindowNumber current = duties.windows->At(duties.clock.At(net::Now()));
  std::vector<wire::UsageWindow> parts;
  for (WindowNumber window = current - 1; window <= current; ++window) {
    const duties::AccountCounts counts = duties.byHost.Of(window, duties.host.Text());
    if (!counts.empty()) {
      AppendParts(parts, window, counts);
    }
  }
  for (wire::UsageWindow& part : parts) {
    mChannel->SendToStoreWatchers(
      wire::EncodeDutyReport({ mDataCentre, duties.host, { std::move(part) }, {} }));
  }
}

void DutyExchange::ReportDataCentre()
{
  DutyState& duties = mState->duties;
  const Time now = net::Now();
  std::vector<wire::UsageWindow> parts;
  if (duties.windows) {
    const WindowNumber current = duties.windows->At(duties.clock.At(now));
    for (WindowNumber window = current - kRepeatedWindows; window < current; ++window) {
      AppendParts(parts, window, duties.byHost.Total(window));
    }
  }
  const std::vector<wire::ServiceNeed> needs = ToWire(mState->stageDemand.TotalNeeds(now));
  std::vector<wire::DutyReport> reports{ { mDataCentre, HostName{}, {}, needs } };
  for (wire::UsageWindow& part : parts) {
    reports.push_back({ mDataCentre, HostName{}, { std::move(part) }, needs });
  }
  const std::optional<HostName> holder = mAuthority->KnownHolder();
  for (const wire::DutyReport& report : reports) {
    Apply(report);
    if (mChannel && holder && *holder != duties.host) {
      mChannel->SendToHost(*holder, wire::EncodeDutyReport(report));
    }
  }
}

void DutyExchange::Apply(std::string_view aDatagram)
{
  const Result<wire::DutyReport, wire::WireError> report = wire::DecodeDutyReport(aDatagram);
  if (report && report->host != mState->duties.host) {
    Apply(*report);
  }
}

void DutyExchange::Apply(const wire::DutyReport& aReport)
{
  DutyState& duties = mState->duties;
  const bool isOfDataCentre = aReport.host.IsEmpty();
  duties::UsageLedger& ledger = isOfDataCentre ? duties.byDataCentre : duties.byHost;
  const std::string& source = isOfDataCentre ? aReport.dataCentre.Text() : aReport.host.Text();
  for (const wire::UsageWindow& window : aReport.windows) {
    duties::AccountCounts counts;
    for (const wire::AccountCount& item : window.counts) {
      counts[item.account] = item.requests;
    }
    ledger.Merge(window.window, source, counts);
  }
  if (isOfDataCentre) {
    duties.needs[aReport.dataCentre] = { ToNeeds(aReport.needs), net::Now() };
  }
}

} // namespace masticstep::relay
