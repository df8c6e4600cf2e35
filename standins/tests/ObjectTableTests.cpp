#include "platform_standin/ObjectTable.hpp"

#include "common/TokenBucket.hpp"

#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::standins;

// Guards against two conditional writes that succeed with the same version, including after the key
// was deleted and created again.
MASTICSTEP_TEST("a version permits only one conditional write", "[platform]")
{
  ObjectTable table;
  const WriteCondition absent{ std::nullopt, true };
  const std::optional<std::uint64_t> first = table.Write("k", "1", absent);
  CHECK_TRUE(first.has_value());
  CHECK_FALSE(table.Write("k", "2", absent).has_value());
  CHECK_TRUE(table.Write("k", "2", { first, false }).has_value());
  CHECK_FALSE(table.Write("k", "3", { first, false }).has_value());
  CHECK_TRUE(table.Delete("k", {}).has_value());
  CHECK_TRUE(table.Write("k", "1", absent).has_value());
  CHECK_FALSE(table.Write("k", "3", { first, false }).has_value());
}

// Guards against missed or duplicated changes in watches.
MASTICSTEP_TEST("changes after a revision list each key once with its latest change", "[platform]")
{
  ObjectTable table;
  table.Write("a/1", "x", {});
  const std::uint64_t seen = table.Revision();
  table.Write("a/2", "x", {});
  table.Write("a/2", "y", {});
  table.Write("b/1", "x", {});
  table.Delete("a/1", {});
  const std::vector<ListedObject> changes = table.ChangesAfter("a/", seen);
  CHECK_EQUAL(std::size_t{ 2 }, changes.size());
  CHECK_EQUAL(std::string("a/2"), changes[0].key);
  CHECK_FALSE(changes[0].isDeleted);
  CHECK_EQUAL(std::string("a/1"), changes[1].key);
  CHECK_TRUE(changes[1].isDeleted);
  CHECK_TRUE(table.ChangesAfter("a/", table.Revision()).empty());
}

// Guards against admitting more calls than the rate and the burst allow.
MASTICSTEP_TEST("a token bucket limits the rate", "[platform]")
{
  TokenBucket bucket(400);
  std::size_t taken = 0;
  for (std::int64_t ms = 1; ms <= 10000; ++ms) {
    taken += bucket.Take(Time{ Milliseconds(ms) }) ? 1 : 0;
  }
  CHECK_TRUE(taken >= 4000 && taken <= 4100);
}
