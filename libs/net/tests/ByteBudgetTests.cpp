#include "masticstep/net/ByteBudget.hpp"

#include "masticstep/testing/Test.hpp"

#include <cstdint>
#include <memory>
#include <vector>

using namespace masticstep;
using namespace masticstep::net;

// Guards against ordinary answers that fail because a faulty server has used up the budget.
MASTICSTEP_TEST("an exhausted budget still grants each exchange its part", "[net][budget]")
{
  const std::shared_ptr<ByteBudget> budget = std::make_shared<ByteBudget>(1000);
  ByteCharge faulty(budget);
  CHECK_TRUE(faulty.TryResize(ByteCharge::kGrantedBytes + 1000));
  ByteCharge ordinary(budget);
  CHECK_TRUE(ordinary.TryResize(ByteCharge::kGrantedBytes));
  CHECK_FALSE(ordinary.TryResize(ByteCharge::kGrantedBytes + 1));
  CHECK_EQUAL(ByteCharge::kGrantedBytes, ordinary.Bytes());
  CHECK_TRUE(faulty.TryResize(ByteCharge::kGrantedBytes + 999));
  CHECK_TRUE(ordinary.TryResize(ByteCharge::kGrantedBytes + 1));
}

// Guards against a budget that stays used up after its exchanges have ended.
MASTICSTEP_TEST("a budget is unused once its charges are gone", "[net][budget][property]")
{
  testing::CheckProperty("the bytes in use are the sum of what exceeds the granted parts",
                         [](const std::vector<std::uint32_t>& aSizes) {
                           constexpr std::size_t kBound = 100000;
                           const std::shared_ptr<ByteBudget> budget =
                             std::make_shared<ByteBudget>(kBound);
                           {
                             std::vector<std::unique_ptr<ByteCharge>> charges;
                             std::size_t expected = 0;
                             for (const std::uint32_t size : aSizes) {
                               const std::size_t beyond = size % (2 * kBound);
                               charges.push_back(std::make_unique<ByteCharge>(budget));
                               const bool isTaken =
                                 charges.back()->TryResize(ByteCharge::kGrantedBytes + beyond);
                               RC_ASSERT(isTaken == (expected + beyond <= kBound));
                               expected += isTaken ? beyond : 0;
                               RC_ASSERT(budget->InUse() == expected);
                             }
                           }
                           RC_ASSERT(budget->InUse() == 0U);
                         });
}

MASTICSTEP_TEST("a refused growth is reported", "[net][budget]")
{
  std::vector<RefusedBytes> refused;
  const std::shared_ptr<ByteBudget> budget = std::make_shared<ByteBudget>(
    10, [&refused](const RefusedBytes& aRefused) { refused.push_back(aRefused); });
  ByteCharge charge(budget);
  CHECK_FALSE(charge.TryResize(ByteCharge::kGrantedBytes + 11));
  CHECK_EQUAL(std::size_t{ 1 }, refused.size());
  CHECK_TRUE(refused.at(0) == RefusedBytes({ 11, 0, 10 }));
}
