#include "masticstep/wire/WorkReport.hpp"

#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::wire;

namespace {

WorkReport ExampleReport()
{
  return { HostName{ "front-1" },
           7,
           { { BackendServerName{ "i-1" }, Milliseconds(120), 3, 40000 },
             { BackendServerName{ "i-2" }, Duration::zero(), 1, 0 } },
           91,
           4 };
}

} // namespace

MASTICSTEP_TEST("a work report is the same after encoding and decoding", "[wire][work]")
{
  const Result<WorkReport, WireError> report = DecodeWorkReport(EncodeWorkReport(ExampleReport()));
  CHECK_TRUE(report.has_value());
  CHECK_TRUE(*report == ExampleReport());
}

// Guards against out-of-bounds reads in a datagram that was truncated or corrupted in transit.
MASTICSTEP_TEST("truncated and foreign datagrams are rejected as work reports",
                "[wire][work][bounds]")
{
  const std::string whole = EncodeWorkReport(ExampleReport());
  for (std::size_t n = 0; n < whole.size(); ++n) {
    const Result<WorkReport, WireError> report = DecodeWorkReport(whole.substr(0, n));
    CHECK_TRUE(!report || *report == ExampleReport());
  }
  CHECK_FALSE(DecodeWorkReport("GET / HTTP/1.1\r\n\r\n").has_value());
}

// Guards against overflow of sums by reports with values that no daemon would send.
MASTICSTEP_TEST("implausible values of a work report are clamped", "[wire][work][bounds]")
{
  WorkReport report = ExampleReport();
  report.backends[0].prefillTime = Duration::max();
  report.backends[0].tokens = UINT64_MAX;
  const Result<WorkReport, WireError> decoded = DecodeWorkReport(EncodeWorkReport(report));
  CHECK_TRUE(decoded.has_value());
  CHECK_TRUE(decoded->backends[0].prefillTime <= Seconds(3600));
  CHECK_TRUE(decoded->backends[0].tokens <= (1ULL << 40U));
}
