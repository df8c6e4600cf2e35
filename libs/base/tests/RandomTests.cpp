#include "masticstep/base/Random.hpp"
#include "masticstep/testing/Test.hpp"

using masticstep::Random;

// Guards against a generator that depends on anything but its seed.
MASTICSTEP_TEST("generators with one seed draw the same numbers", "[base][random]")
{
  Random first(7);
  Random second(7);
  Random other(8);
  bool differs = false;
  for (int i = 0; i < 100; ++i) {
    const std::uint64_t n = first.Next();
    CHECK_EQUAL(n, second.Next());
    differs = differs || n != other.Next();
  }
  CHECK_TRUE(differs);
}

// Guards against draws outside the stated range.
MASTICSTEP_TEST("draws stay inside their range", "[base][random][property]")
{
  masticstep::testing::CheckProperty("range", [](std::uint64_t aSeed, std::uint32_t aBound) {
    Random random(aSeed);
    RC_ASSERT(random.Below(0) == 0U);
    RC_ASSERT(aBound == 0U || random.Below(aBound) < aBound);
    const double n = random.Uniform();
    RC_ASSERT(n >= 0.0 && n < 1.0);
    RC_ASSERT(random.Exponential(2.0) >= 0.0);
  });
}
