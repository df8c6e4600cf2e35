#include "masticstep/base/Hash.hpp"
#include "masticstep/testing/Test.hpp"

// Guards against digests that another host or version would not compute.
MASTICSTEP_TEST("digests match the published test vectors", "[base][hash]")
{
  CHECK_EQUAL(std::string("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"),
              masticstep::Sha256Hex("abc"));
  CHECK_EQUAL(0xef46db3751d8e999U, masticstep::Hash64(""));
}
