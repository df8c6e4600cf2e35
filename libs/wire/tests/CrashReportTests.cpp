#include "masticstep/wire/CrashReport.hpp"

#include "masticstep/testing/Test.hpp"
#include "masticstep/wire/WorkReport.hpp"

using namespace masticstep;
using namespace masticstep::wire;

namespace {

CrashReport ExampleReport()
{
  return { { { "i-1@1700000000000", Milliseconds(250), { { 1, 0 }, { 0xdead5, 1 } } },
             { "i-2@1700000000001", Duration::zero(), {} } },
           { { 0xdead5, Seconds(599) } },
           { { 1, Milliseconds(20) } } };
}

} // namespace

MASTICSTEP_TEST("a crash report is the same after encoding and decoding", "[wire][crash]")
{
  const std::string datagram = EncodeCrashReport(ExampleReport());
  CHECK_TRUE(IsCrashReport(datagram));
  const Result<CrashReport, WireError> report = DecodeCrashReport(datagram);
  CHECK_TRUE(report.has_value());
  CHECK_TRUE(*report == ExampleReport());
}

// Guards against out-of-bounds reads in a datagram that was truncated in transit.
MASTICSTEP_TEST("truncated datagrams and work reports are rejected as crash reports",
                "[wire][crash][bounds]")
{
  const std::string whole = EncodeCrashReport(ExampleReport());
  for (std::size_t n = 0; n < whole.size(); ++n) {
    CHECK_FALSE(DecodeCrashReport(whole.substr(0, n)).has_value());
  }
  WorkReport work;
  work.host = HostName{ "front-1" };
  const std::string other = EncodeWorkReport(work);
  CHECK_FALSE(IsCrashReport(other));
  CHECK_FALSE(DecodeCrashReport(other).has_value());
}
