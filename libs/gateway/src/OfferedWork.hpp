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

// Engine seconds a second that callers offer, by model service.
using WorkByService = std::map<ServiceName, roles::WorkloadSample>;

// Writes the work as "service=prompt,output;..." with the numbers in thousandths of an engine.
std::string EncodeWork(const WorkByService& aWork);
// Adds encoded work of one daemon to a sum. Parts that cannot be read are left out.
void AddEncodedWork(std::string_view aText, WorkByService& aSum);

// Largest number of daemons of a data centre that report their work. Callers are spread over the
// daemons, so four stand for all. With eight, every 5 s, the busiest of 370 daemons sent 8.3 KB/s
// in control_370; the target is 8.
constexpr std::size_t kMaximumReporters = 4;

// Returns whether the daemon is one of the reporters among the members of its data centre. All
// daemons with the same view agree.
bool IsWorkReporter(const HostName& aHost, std::vector<HostName> aMembers);

// Multiplies the work, reported by aReporters daemons, up to that of all members.
void ScaleWork(WorkByService& aWork, std::size_t aReporters, std::size_t aMembers);

// Adds up the work that arrives at this daemon. Safe to use from every thread.
class OfferedWork
{
public:
  // Counts one request, whether or not it is admitted.
  void Add(const ServiceName& aService, std::uint32_t aPromptTokens, std::uint32_t aOutputTokens);
  // Returns the work a second since the last call, over the given span, and starts anew. The span
  // must be above zero.
  WorkByService Take(Duration aSpan);

private:
  std::mutex mMutex;
  WorkByService mSums; // engine seconds
};

} // namespace masticstep::gateway
