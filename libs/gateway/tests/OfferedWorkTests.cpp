#include "OfferedWork.hpp"

#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::gateway;

MASTICSTEP_TEST("the work of several daemons is summed per service", "[gateway][roles]")
{
  OfferedWork work;
  const ServiceName drafting("drafting");
  work.Add(drafting, 20000, 10); // mostly prompt
  work.Add(drafting, 10, 20000); // mostly output
  const std::string text = EncodeWork(work.Take(Seconds(2)));
  CHECK_TRUE(work.Take(Seconds(2)).empty());
  WorkByService sum;
  AddEncodedWork(text, sum);
  AddEncodedWork(text, sum);
  CHECK_EQUAL(1U, sum.size());
  CHECK_TRUE(sum[drafting].promptWork > 1.0);
  CHECK_TRUE(sum[drafting].outputWork > sum[drafting].promptWork);
}

// Guards against a corrupt report, or a report of a newer version, that stops role control.
MASTICSTEP_TEST("malformed entries of a work report are skipped", "[gateway][roles]")
{
  WorkByService sum;
  AddEncodedWork("a=1000,2000;b=x,1;c=1;=1,1;d=-1,2;;e=500,0", sum);
  CHECK_EQUAL(2U, sum.size());
  CHECK_TRUE(sum[ServiceName("a")].outputWork == 2.0);
  CHECK_TRUE(sum[ServiceName("e")].promptWork == 0.5);
}

// Guards against work reports that alone exceed the traffic limit of a daemon in a large fleet.
MASTICSTEP_TEST("at most four daemons of a data centre report work", "[gateway][roles]")
{
  constexpr int kMembers = 74;
  std::vector<HostName> members;
  members.reserve(kMembers);
  for (int i = 0; i < kMembers; ++i) {
    members.emplace_back("host-" + std::to_string(i));
  }
  std::size_t reporters = 0;
  for (const HostName& host : members) {
    reporters += IsWorkReporter(host, members) ? 1 : 0;
  }
  CHECK_EQUAL(kMaximumReporters, reporters);
  CHECK_TRUE(IsWorkReporter(HostName("host-5"), { HostName("host-5"), HostName("host-6") }));
  CHECK_FALSE(IsWorkReporter(HostName("other"), members));
}

MASTICSTEP_TEST("reported work is extrapolated to all members", "[gateway][roles]")
{
  WorkByService work{ { ServiceName("a"), { 1.0, 2.0 } } };
  ScaleWork(work, 8, 74);
  CHECK_TRUE(work[ServiceName("a")].promptWork == 9.25);
  ScaleWork(work, 0, 74);
  ScaleWork(work, 8, 2);
  CHECK_TRUE(work[ServiceName("a")].outputWork == 18.5);
}
