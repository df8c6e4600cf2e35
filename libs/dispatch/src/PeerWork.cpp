#include "masticstep/dispatch/PeerWork.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::dispatch {

namespace {

// Daemons with outstanding work report several times within this period.
constexpr Duration kReportExpiry = Milliseconds(1000);

} // namespace

void PeerWork::OnReport(const HostName& aHost, std::uint64_t aSequence, WorkByBackend aWork,
                        Time aNow)
{
  std::erase_if(
    mReports, [aNow](const auto& aItem) { return aItem.second.receivedAt + kReportExpiry < aNow; });
  const auto found = mReports.find(aHost);
  if (found != mReports.end() && found->second.sequence >= aSequence) {
    return;
  }
  mReports[aHost] = { aSequence, aNow, std::move(aWork) };
}

OutstandingWork PeerWork::TotalAt(const BackendServerName& aBackend, Time aNow) const
{
  OutstandingWork sum;
  for (const auto& [host, report] : mReports) {
    const auto found = report.work.find(aBackend);
    if (found == report.work.end() || report.receivedAt + kReportExpiry < aNow) {
      continue;
    }
    sum.prefillTime += found->second.prefillTime;
    sum.requests += found->second.requests;
    sum.tokens += found->second.tokens;
  }
  return sum;
}

std::vector<HostName> PeerWork::ActiveHosts(Time aNow) const
{
  std::vector<HostName> hosts;
  for (const auto& [host, report] : mReports) {
    if (report.receivedAt + kReportExpiry >= aNow) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

} // namespace masticstep::dispatch
