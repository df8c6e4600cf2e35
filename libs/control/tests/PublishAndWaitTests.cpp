#include "masticstep/control/PublishAndWait.hpp"

#include "masticstep/platform/InMemoryPlatform.hpp"
#include "masticstep/testing/Test.hpp"

#include <thread>

using namespace masticstep;
using namespace masticstep::control;
using publication::PublishStatus;

namespace {

// Calls back on a separate thread for each request.
class ThreadedStore : public platform::ObjectStore
{
public:
  ~ThreadedStore() override
  {
    for (std::thread& thread : mThreads) {
      thread.join();
    }
  }
  void Submit(platform::PlatformRequest aRequest, Callback aCallback) override
  {
    platform::PlatformReply reply = platform.Apply(aRequest);
    mThreads.emplace_back(
      [reply = std::move(reply), callback = std::move(aCallback)] { callback(reply); });
  }

  platform::InMemoryPlatform platform;

private:
  std::vector<std::thread> mThreads;
};

std::vector<publication::ServiceContent> Accounts()
{
  return { { ServiceName{ "accounts" }, { { "a.accounts.json", R"({"accounts": []})" } } } };
}

} // namespace

// Guards against a blocking call that loses replies or never returns.
MASTICSTEP_TEST("a publish runs to its end on the calling thread", "[control][publication]")
{
  ThreadedStore store;
  CHECK_EQUAL(1U, PublishAndWait(store, Accounts(), "a", Seconds(60)).generation);
  CHECK_EQUAL(2U, PublishAndWait(store, Accounts(), "b", Seconds(60)).generation);
  store.platform.SetOutage(true);
  CHECK_TRUE(PublishAndWait(store, Accounts(), "c", Milliseconds(1)).status ==
             PublishStatus::Unavailable);
}
