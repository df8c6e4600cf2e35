#include "OfferedWork.hpp"

#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::gateway;

MASTICSTEP_TEST("work of several daemons adds up by service", "[gateway][roles]")
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

// Guards against a damaged or newer report of a peer that stops role control.
MASTICSTEP_TEST("parts of a work report that cannot be read are left out", "[gateway][roles]")
{
  WorkByService sum;
  AddEncodedWork("a=1000,2000;b=x,1;c=1;=1,1;d=-1,2;;e=500,0", sum);
  CHECK_EQUAL(2U, sum.size());
  CHECK_TRUE(sum[ServiceName("a")].outputWork == 2.0);
  CHECK_TRUE(sum[ServiceName("e")].promptWork == 0.5);
}
