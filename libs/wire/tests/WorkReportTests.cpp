#include "masticstep/wire/WorkReport.hpp"

#include "masticstep/testing/Test.hpp"

#include <limits>

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
           4,
           { { ServiceName{ "llm" }, 1.5, 0.25, 0.125, 0.5 } },
           93,
           Milliseconds(250),
           2,
           Seconds(1700000000),
           true,
           true };
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

MASTICSTEP_TEST("needs that are not plausible numbers count as zero or as the limit",
                "[wire][work][bounds]")
{
  WorkReport report = ExampleReport();
  report.needs[0].prefillSeconds = std::numeric_limits<double>::quiet_NaN();
  report.needs[0].slotSeconds = -1.0;
  report.needs[0].kvCacheSeconds = std::numeric_limits<double>::infinity();
  const Result<WorkReport, WireError> decoded = DecodeWorkReport(EncodeWorkReport(report));
  CHECK_TRUE(decoded.has_value());
  CHECK_EQUAL(0.0, decoded->needs[0].prefillSeconds);
  CHECK_EQUAL(0.0, decoded->needs[0].slotSeconds);
  CHECK_EQUAL(1e6, decoded->needs[0].kvCacheSeconds);
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
