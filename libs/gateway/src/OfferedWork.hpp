#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/roles/WorkloadSample.hpp"

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace masticstep::gateway {

// Offered load of each model service, in engine seconds per second.
using WorkByService = std::map<ServiceName, roles::WorkloadSample>;

// Encodes the work as "service=prompt,output;..." with the numbers in thousandths of an engine.
std::string EncodeWork(const WorkByService& aWork);
// Adds the encoded work of one daemon to a sum. Malformed entries are skipped.
void AddEncodedWork(std::string_view aText, WorkByService& aSum);

// Maximum number of daemons per data centre that report their work. Callers are spread over the
// daemons, so four are representative of all. With eight reporters every 5 s, the busiest of 370
// daemons sent 8.3 KB/s in control_370; the target is 8 KB/s.
constexpr std::size_t kMaximumReporters = 4;

// Returns whether the daemon is one of the reporters among the members of its data centre. All
// daemons with the same membership view agree.
bool IsWorkReporter(const HostName& aHost, std::vector<HostName> aMembers);

// Extrapolates the work reported by aReporters daemons to all members.
void ScaleWork(WorkByService& aWork, std::size_t aReporters, std::size_t aMembers);

// Accumulates the work that is offered to this daemon. Thread-safe.
class OfferedWork
{
public:
  // Counts one request, whether or not it is admitted.
  void Add(const ServiceName& aService, std::uint32_t aPromptTokens, std::uint32_t aOutputTokens);
  // Returns the work per second since the last call and resets the sums. aSpan is the time since
  // the last call and must be positive.
  WorkByService Take(Duration aSpan);

private:
  std::mutex mMutex;
  WorkByService mSums; // engine seconds
};

} // namespace masticstep::gateway
