#include "BenchCase.hpp"
#include "masticstep/admission/UsageShares.hpp"
#include "masticstep/base/Hash.hpp"
#include "masticstep/base/Random.hpp"

#include <algorithm>
#include <map>
#include <string>

namespace masticstep::bench {

namespace {

using namespace admission;

// The target load and accounts, design section 1.5, scaled to the number of daemons.
constexpr double kRequestsPerDaemon = 4900.0 / 370.0;
constexpr double kAccountsPerDaemon = 4800.0 / 370.0;
constexpr double kTokensPerRequest = 850.0;
constexpr int kSeconds = 60;
// Frame header of 22 bytes (design section 5.4), FlatBuffers table 24, TLS record 22, TCP/IP 40.
constexpr double kFrameBytes = 108.0;
// Hash of the account and rate or share.
constexpr double kEntryBytes = 12.0;

// Every daemon reports to the owner of each account; reports to one owner share a frame, and so do
// the grants that answer them.
std::vector<Measurement> Spread(std::size_t aDaemons)
{
  ShareOptions options;
  options.daemons = aDaemons;
  std::vector<UsageShares> shares;
  std::vector<ShareAllocator> ledgers;
  for (std::size_t i = 0; i < aDaemons; ++i) {
    shares.emplace_back(options, HostName("host-" + std::to_string(i)));
    ledgers.emplace_back(options);
  }
  Random random(3);
  const std::size_t accounts =
    static_cast<std::size_t>(kAccountsPerDaemon * static_cast<double>(aDaemons));
  std::vector<double> bytes(aDaemons, 0.0);
  for (int second = 0; second < kSeconds; ++second) {
    const Time now{ Seconds(second) };
    const int requests = static_cast<int>(kRequestsPerDaemon * static_cast<double>(aDaemons));
    for (int i = 0; i < requests; ++i) {
      const AccountName account("account-" + std::to_string(random.Below(accounts)));
      shares[random.Below(aDaemons)].OnAdmitted(account, kTokensPerRequest, now);
    }
    for (std::size_t daemon = 0; daemon < aDaemons; ++daemon) {
      std::map<std::size_t, std::size_t> entries;
      for (const UsageReport& report : shares[daemon].Reports(now)) {
        const std::size_t owner = Hash64(report.account.Text()) % aDaemons;
        shares[daemon].OnGrant(ledgers[owner].OnReport(report, now), now);
        ++entries[owner];
      }
      for (const std::pair<const std::size_t, std::size_t>& item : entries) {
        if (item.first == daemon) {
          continue;
        }
        const double sent = kFrameBytes + kEntryBytes * static_cast<double>(item.second);
        bytes[daemon] += sent;
        bytes[item.first] += sent;
      }
      ledgers[daemon].OnTime(now);
    }
  }
  double sum = 0.0;
  for (const double each : bytes) {
    sum += each;
  }
  return {
    { "sent_per_daemon", sum / static_cast<double>(aDaemons) / kSeconds, "bytes/s", {} },
    { "sent_by_busiest", *std::max_element(bytes.begin(), bytes.end()) / kSeconds, "bytes/s", {} }
  };
}

const CaseRegistration kLimits8({ "limits_8", [] { return Spread(8); } });
const CaseRegistration kLimits74({ "limits_74", [] { return Spread(74); } });
const CaseRegistration kLimits370({ "limits_370", [] { return Spread(370); } });

} // namespace

} // namespace masticstep::bench
