#include "masticstep/wire/DutyReport.hpp"
#include "masticstep/wire/FreshnessMessage.hpp"

#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::wire;

namespace {

DutyReport Example()
{
  return { DataCentreName{ "d1" },
           HostName{ "h1" },
           { { 7, { { AccountName{ "shop" }, 3 }, { AccountName{ "yard" }, 9 } } }, { 8, {} } },
           { { ServiceName{ "llm" }, 1.5, 2.5, 0.5, 0.25 } } };
}

} // namespace

MASTICSTEP_TEST("duty reports and freshness messages are the same after encoding and decoding",
                "[wire][duties]")
{
  CHECK_TRUE(*DecodeDutyReport(EncodeDutyReport(Example())) == Example());
  const FreshnessMessage message{ Time(Microseconds(123456789)), true, 42, Milliseconds(1500) };
  CHECK_TRUE(*DecodeFreshnessMessage(EncodeFreshnessMessage(message)) == message);
}

// Guards against a configuration that seems younger than it is.
MASTICSTEP_TEST("the age of a freshness message is rounded up", "[wire][freshness]")
{
  const FreshnessMessage message{ Time(), true, 42, Microseconds(1500001) };
  CHECK_EQUAL(Milliseconds(1501), DecodeFreshnessMessage(EncodeFreshnessMessage(message))->age);
}

MASTICSTEP_TEST("truncated and foreign datagrams are neither duty reports nor freshness messages",
                "[wire][duties][bounds]")
{
  const std::string report = EncodeDutyReport(Example());
  const std::string message = EncodeFreshnessMessage({ Time() });
  CHECK_TRUE(IsDutyReport(report) && !IsDutyReport(message) && !IsDutyReport("MSD1"));
  CHECK_TRUE(IsFreshnessMessage(message) && !IsFreshnessMessage(report));
  for (std::size_t n = 0; n < report.size(); ++n) {
    // Without a part of the padding at its end, a report is still whole.
    const Result<DutyReport, WireError> decoded = DecodeDutyReport(report.substr(0, n));
    CHECK_TRUE(!decoded || *decoded == Example());
  }
  CHECK_FALSE(DecodeFreshnessMessage(report).has_value());
  CHECK_FALSE(DecodeDutyReport(message).has_value());
}
