#include "masticstep/orders/OrderKey.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep::orders;

// Guards against misparsed dates, which would cause records to be deleted too early or never.
MASTICSTEP_TEST("dates of both key formats are parsed", "[orders][key]")
{
  CHECK_EQUAL(951782400000, ParseOrderKey("20000229T000000Z-abcdefgh")->date.milliseconds);
  // Example of RFC 9562, appendix A.6: 2022-02-22T19:22:22Z.
  const std::optional<OrderKey> uuid = ParseOrderKey("017F22E2-79B0-7CC3-98C4-DC0C0C07398F");
  CHECK_EQUAL(1645557742000, uuid->date.milliseconds);
  CHECK_TRUE(uuid == ParseOrderKey("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"));
}

// Guards against accepting keys without a date, which cannot be refused after their record is
// deleted.
MASTICSTEP_TEST("undated and malformed keys are refused", "[orders][key]")
{
  for (const char* text :
       { "", "abc", "20000230T000000Z-abcdefgh", "20000229T240000Z-abcdefgh",
         "20000229T000000Z-short", "20000229T000000Z-abcdefg/", "19690101T000000Z-abcdefgh",
         "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", "017f22e2-79b0-7cc3-18c4-dc0c0c07398f",
         "017f22e2079b0-7cc3-98c4-dc0c0c07398f" }) {
    CHECK_FALSE(ParseOrderKey(text).has_value());
  }
}

// Guards against off-by-one errors at the ends of the accepted period, -24 h and +10 min.
MASTICSTEP_TEST("the age of a key is bounded on both sides", "[orders][key]")
{
  const OrderKey key = *ParseOrderKey("20261204T040000Z-abcdefgh");
  const auto age = [&key](std::int64_t aMilliseconds) {
    return AgeOf(key, WallTime{ key.date.milliseconds + aMilliseconds });
  };
  CHECK_TRUE(age(24LL * 3600 * 1000) == KeyAge::Current);
  CHECK_TRUE(age(24LL * 3600 * 1000 + 1) == KeyAge::TooOld);
  CHECK_TRUE(age(-600 * 1000) == KeyAge::Current);
  CHECK_TRUE(age(-600 * 1000 - 1) == KeyAge::TooFarInFuture);
  CHECK_EQUAL(BucketOf(key.date), BucketOf(WallTime{ key.date.milliseconds + 9999 }));
  CHECK_EQUAL(BucketOf(key.date) + 1, BucketOf(WallTime{ key.date.milliseconds + 10000 }));
}
