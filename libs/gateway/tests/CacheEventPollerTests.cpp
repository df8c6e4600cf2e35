#include "EngineLoads.hpp"
#include "GatewayFixture.hpp"
#include "LeastOutstandingSelector.hpp"
#include "masticstep/testing/Test.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>

#include <future>

using namespace masticstep;
using namespace masticstep::gateway;

namespace {

constexpr std::size_t kExpectedEvents = 4;

// Selector that records cache events and completes a future when all have arrived.
class RecordingSelector : public LeastOutstandingSelector
{
public:
  RecordingSelector()
    : LeastOutstandingSelector(ServiceKind::Model, 1)
  {
  }

  void OnCacheEvent(const EngineCacheEvent& aEvent, Time) override
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mEvents.push_back(aEvent);
    if (mEvents.size() == kExpectedEvents) {
      mComplete.set_value(mEvents);
    }
  }

  std::future<std::vector<EngineCacheEvent>> Complete() { return mComplete.get_future(); }

private:
  std::mutex mMutex;
  std::vector<EngineCacheEvent> mEvents;
  std::promise<std::vector<EngineCacheEvent>> mComplete;
};

net::Task<void> HandlePoll(net::HttpRequest aRequest, net::HttpResponder& aResponder)
{
  std::string body = R"({"sequence":1,"role":"mixed","state":"ready"})";
  if (aRequest.target == "/cache-events?after=0") {
    body = R"({"next":4,"events":[{"sequence":1,"kind":"stored","hash":"000000000000000a"},
      {"sequence":2,"kind":"stored","hash":"000000000000000b"},
      {"sequence":4,"kind":"removed","hash":"000000000000000a"}]})";
  } else if (aRequest.target == "/cache-events?after=4") {
    body = R"({"next":5,"events":[{"sequence":5,"kind":"stored","hash":"000000000000000c"}]})";
  } else if (aRequest.Path() == "/cache-events") {
    body = R"({"next":5,"events":[]})";
  }
  net::HttpResponse response = net::JsonResponse(200, std::move(body));
  co_await aResponder.Send(std::move(response));
}

} // namespace

// Guards against a selector that receives no cache events, receives them twice, or cannot detect
// that events were lost.
MASTICSTEP_TEST("cache events of polled engines reach the selector", "[gateway][cache]")
{
  TestBackend engine(HandlePoll);
  GatewayFixture fixture({ engine.Url() }, {});
  std::unique_ptr<RecordingSelector> selector = std::make_unique<RecordingSelector>();
  std::future<std::vector<EngineCacheEvent>> complete = selector->Complete();
  fixture.Parts().engines = std::move(selector);
  net::WorkerPool workers(2);
  std::future<void> end =
    boost::asio::co_spawn(boost::asio::make_strand(workers.Context()),
                          PollLoads(fixture.SharedParts()), boost::asio::use_future);
  const std::vector<EngineCacheEvent> events = complete.get();
  fixture.Parts().drain.Advance(DrainPhase::Stopping);
  end.get();
  workers.Stop();
  fixture.Parts().pool->Close();
  const EngineId id("engine-1");
  const std::vector<EngineCacheEvent> expected{
    { id, 1, true, 10 }, { id, 2, true, 11 }, { id, 4, false, 10 }, { id, 5, true, 12 }
  };
  CHECK_TRUE(expected == events);
}
