#include "masticstep/order_service/OrderService.hpp"

#include "masticstep/net/Clock.hpp"
#include "masticstep/net/HttpServer.hpp"
#include "masticstep/net/WorkerPool.hpp"
#include "masticstep/platform/InMemoryPlatform.hpp"
#include "masticstep/testing/Test.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>

#include <atomic>
#include <chrono>
#include <mutex>

using namespace masticstep;
using namespace masticstep::order_service;
using namespace masticstep::orders;

namespace {

// Applies requests to the in-memory platform at once and replies on a worker thread.
class ImmediateStore : public platform::ObjectStore
{
public:
  explicit ImmediateStore(net::Executor aExecutor)
    : mExecutor(std::move(aExecutor))
  {
  }
  void Submit(platform::PlatformRequest aRequest, Callback aCallback) override
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    platform.SetOutage(outage);
    boost::asio::post(mExecutor, [reply = platform.Apply(aRequest),
                                  callback = std::move(aCallback)] { callback(reply); });
  }

  std::atomic<bool> outage = false;
  platform::InMemoryPlatform platform;

private:
  net::Executor mExecutor;
  std::mutex mMutex;
};

class Backend : public net::HttpHandler
{
public:
  net::Task<void> Handle(net::HttpRequest, net::HttpResponder& aResponder) override
  {
    ++executions;
    if (closeMidResponse) {
      // The connection is closed because the response is left incomplete.
      aResponder.StartStream({ 200, {} });
      co_await aResponder.WriteChunk("par");
    } else {
      net::HttpResponse response{ 201, {}, "order 1" };
      response.headers.push_back({ "Content-Type", "text/plain" });
      co_await aResponder.Send(std::move(response));
    }
  }
  net::HttpResponse Refuse(unsigned aStatus, const net::NetError&) override
  {
    return { aStatus, {}, "" };
  }

  std::atomic<std::uint32_t> executions = 0;
  std::atomic<bool> closeMidResponse = false;
};

class Fixture
{
public:
  Fixture()
    : backend(std::make_shared<Backend>())
    , workers(4)
    , store(std::make_shared<ImmediateStore>(workers.Context().get_executor()))
    , server(*net::HttpServer::Create(workers.Context(), { "127.0.0.1", 0 }, {}, backend))
    , service(workers.Context().get_executor(), store, Options(), nullptr)
  {
  }
  ~Fixture() { workers.Stop(); }

  OrderResponse Execute(const std::string& aKey, std::uint16_t aFirstPort = 0)
  {
    return Start(aKey, aFirstPort).get();
  }

  std::future<OrderResponse> Start(const std::string& aKey, std::uint16_t aFirstPort = 0)
  {
    net::HttpRequest request;
    request.method = "POST";
    request.target = "/orders";
    request.body = "{}";
    OrderCall call;
    call.service = ServiceName{ "ordering" };
    call.account = AccountName{ "a" };
    call.key = aKey;
    call.digest = DigestOf(request);
    if (aFirstPort != 0) {
      call.targets.push_back({ { "127.0.0.1", aFirstPort }, request });
    }
    if (!firstTargetOnly) {
      call.targets.push_back({ { "127.0.0.1", server->Port() }, request });
    }
    call.deadline = net::Now() + Seconds(60);
    return boost::asio::co_spawn(workers.Context(), service.Execute(std::move(call)),
                                 boost::asio::use_future);
  }

  bool Drain()
  {
    return boost::asio::co_spawn(workers.Context(), service.Drain(net::Now() + Seconds(60)),
                                 boost::asio::use_future)
      .get();
  }

  bool firstTargetOnly = false;
  std::shared_ptr<Backend> backend;
  net::WorkerPool workers;
  std::shared_ptr<ImmediateStore> store;
  std::unique_ptr<net::HttpServer> server;
  OrderService service;

private:
  static OrderServiceOptions Options()
  {
    OrderServiceOptions options;
    options.daemon = HostName{ "h" };
    options.processNonce = "0123456789abcdef";
    return options;
  }
};

// Returns a key with the current time, because the service uses the system clock.
std::string Key(int aNumber)
{
  const std::time_t now = std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
  std::tm parts{};
  gmtime_r(&now, &parts);
  std::array<char, 40> text{};
  std::strftime(text.data(), text.size(), "%Y%m%dT%H%M%SZ-", &parts);
  return text.data() + std::to_string(10000000 + aNumber);
}

} // namespace

// Checks invariant I6 (at most one execution for each key) end to end with concurrent requests.
MASTICSTEP_TEST("concurrent requests with one key run once", "[order_service]")
{
  Fixture fixture;
  const std::string key = Key(1);
  std::vector<std::future<OrderResponse>> responses;
  responses.reserve(50);
  for (int i = 0; i < 50; ++i) {
    responses.push_back(fixture.Start(key));
  }
  std::size_t executed = 0;
  for (std::future<OrderResponse>& pending : responses) {
    const OrderResponse result = pending.get();
    executed += result.kind == ResponseKind::Executed && !result.replayed ? 1 : 0;
    CHECK_TRUE(result.kind == ResponseKind::Executed);
  }
  CHECK_EQUAL(1U, executed);
  CHECK_EQUAL(1U, fixture.backend->executions.load());
  CHECK_TRUE(fixture.Drain());
  const OrderResponse replay = fixture.Execute(key);
  CHECK_TRUE(replay.replayed && replay.body == "order 1" && replay.contentType == "text/plain");
}

// Checks invariant I5 (a request reported as not run is never executed): unreachable servers are
// skipped, and the call is reported as not run only if no server can be reached.
MASTICSTEP_TEST("unreachable servers are skipped", "[order_service][failure]")
{
  Fixture fixture;
  CHECK_TRUE(fixture.Execute(Key(2), 1).kind == ResponseKind::Executed);
  fixture.firstTargetOnly = true;
  CHECK_TRUE(fixture.Execute(Key(3), 1).reason == ResponseReason::BackendUnreachable);
  CHECK_EQUAL(1U, fixture.backend->executions.load());
}

// Checks I5: a call that was executed and whose response was lost must not be reported as not run.
MASTICSTEP_TEST("a call without a complete response is reported as unknown",
                "[order_service][failure]")
{
  Fixture fixture;
  fixture.backend->closeMidResponse = true;
  const std::string key = Key(4);
  CHECK_TRUE(fixture.Execute(key).reason == ResponseReason::BackendNoResponse);
  fixture.backend->closeMidResponse = false;
  CHECK_TRUE(fixture.Execute(key).kind == ResponseKind::Unknown);
  CHECK_EQUAL(1U, fixture.backend->executions.load());
}

// Checks I5 during a platform outage.
MASTICSTEP_TEST("no call is sent while the platform is down", "[order_service][failure]")
{
  Fixture fixture;
  fixture.store->outage = true;
  CHECK_TRUE(fixture.Execute(Key(5)).reason == ResponseReason::PlatformUnavailable);
  CHECK_EQUAL(0U, fixture.backend->executions.load());
}
