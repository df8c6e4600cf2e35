#include "masticstep/orders/ShardObject.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::orders;

namespace {

ClaimRecord LongestRecord()
{
  return { { AccountName{ std::string(64, 'a') }, std::string(81, 'k') },
           std::string(32, 'd'),
           std::string(16, 'n') + "-1234567890",
           HostName{ std::string(64, 'h') },
           {} };
}

} // namespace

// Guards against objects that exceed the size limit of the platform although their number of
// records is allowed.
MASTICSTEP_TEST("the longest record with a reference fits its share of an object", "[orders]")
{
  ClaimRecord record = LongestRecord();
  record.outcome = CallOutcome{ OutcomeKind::Executed, 0, {}, {}, record.nonce, 99999 };
  std::string text;
  AppendRecord(record, text);
  CHECK_TRUE(text.size() <= kMaximumRecordBytes);
  CHECK_TRUE(2500 * (kMaximumRecordBytes + 1) < platform::kMaximumObjectBytes);
}

// Guards against corrupting bodies, including binary ones, in stored records.
MASTICSTEP_TEST("bodies survive an encoding round trip", "[orders][property]")
{
  testing::CheckProperty("round trip", [](const std::string& aBody, bool aHasOutcome) {
    ClaimRecord record = LongestRecord();
    if (aHasOutcome) {
      record.outcome = CallOutcome{ OutcomeKind::Executed, 201, "text/plain", aBody, {}, 0 };
    }
    const Records records{ { record.key, record } };
    RC_ASSERT(ParseRecords(EncodeRecords(records)) == records);
    const CallOutcome outcome{ OutcomeKind::Executed, 200, "t", aBody, {}, 0 };
    RC_ASSERT(ParseOutcome(EncodeOutcomes({ {}, outcome }), 1) == outcome);
  });
}

// Guards against a crash, and against treating a corrupted object as an empty shard.
MASTICSTEP_TEST("corrupted objects are not parsed as empty", "[orders]")
{
  CHECK_FALSE(ParseRecords("").has_value());
  CHECK_FALSE(ParseRecords(R"({"records":[{"account":"a"}]})").has_value());
  CHECK_FALSE(ParseFloor(R"({"floor":-1})").has_value());
  CHECK_EQUAL(17U, *ParseFloor(EncodeFloor(17)));
}

// Guards against a corrupted record that crashes the daemon or is replayed with a different body.
MASTICSTEP_TEST("a body that is not hexadecimal makes the object invalid", "[orders]")
{
  const std::string head = R"({"outcomes":[{"status":200,"body_hex":")";
  for (const std::string body : { "zz", "0", "ff0", "+1", " 1", "-1", "0x", "f\\u0000" }) {
    CHECK_TRUE(!ParseOutcome(head + body + "\"}]}", 0));
  }
  CHECK_EQUAL(std::string("\xff\x0a"), ParseOutcome(head + "fF0a\"}]}", 0)->body);
}
