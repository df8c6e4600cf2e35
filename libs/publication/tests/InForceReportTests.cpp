#include "masticstep/publication/InForceReport.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::publication;

MASTICSTEP_TEST("an in-force report round-trips, also with unknown keys", "[publication]")
{
  const InForceReport report{ DataCentreName("regina-a"), 12, 3, HostName("h1") };
  CHECK_TRUE(ParseInForce(EncodeInForce(report)).value() == report);
  std::string newer = EncodeInForce(report);
  newer.insert(1, R"("load":1,)");
  CHECK_TRUE(ParseInForce(newer).value() == report);
}

// Guards against `publish --wait` reporting success after reading a corrupted report.
MASTICSTEP_TEST("corrupted in-force reports are rejected", "[publication]")
{
  CHECK_FALSE(ParseInForce("").has_value());
  CHECK_FALSE(ParseInForce(R"({"data_centre":"a","members":1,"reporter":"h"})").has_value());
  CHECK_FALSE(
    ParseInForce(R"({"data_centre":"a","generation":-1,"members":1,"reporter":"h"})").has_value());
}
