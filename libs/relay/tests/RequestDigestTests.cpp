#include "RequestDigest.hpp"

#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::relay;

namespace {

Call MakeCall()
{
  Call call;
  call.id = "c1";
  call.method = "POST";
  call.host = "a.example";
  call.target = "/x/7?page=2";
  call.body = "body";
  call.timeLeft = Seconds(3);
  return call;
}

} // namespace

// Guards against daemons that do not recognize a request which comes again with another id.
MASTICSTEP_TEST("a request that comes again has the same digest", "[relay][digest]")
{
  Call again = MakeCall();
  again.id = "c2";
  again.timeLeft = Seconds(1);
  CHECK_TRUE(DigestOf(MakeCall(), "10.0.0.1") == DigestOf(again, "10.0.0.1"));
  const RequestDigest ofOther = DigestOf(again, "10.0.0.2");
  CHECK_EQUAL(DigestOf(MakeCall(), "10.0.0.1").content, ofOther.content);
  CHECK_FALSE(DigestOf(MakeCall(), "10.0.0.1").ofCaller == ofOther.ofCaller);
}

// Guards against requests that are taken for each other.
MASTICSTEP_TEST("requests that differ in any field have different digests", "[relay][digest]")
{
  std::vector<Call> calls(7, MakeCall());
  calls[1].method = "GET";
  calls[2].host = "b.example";
  calls[3].target = "/x/7?page=3";
  calls[4].body = "";
  calls[5].target = "/x/7?page=2body";
  calls[5].body = "";
  calls[6].prompt = dispatch::Prompt{ "m", 10, 1, { { 5, 10 } } };
  for (std::size_t i = 0; i < calls.size(); ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      CHECK_FALSE(DigestOf(calls[i], "s").content == DigestOf(calls[j], "s").content);
    }
  }
}
