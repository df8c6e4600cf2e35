#include "masticstep/control/EngineAuthority.hpp"

#include "masticstep/control/RoleController.hpp"
#include "masticstep/net/HttpServer.hpp"
#include "masticstep/net/WorkerPool.hpp"
#include "masticstep/platform/InMemoryPlatform.hpp"
#include "masticstep/testing/Test.hpp"

#include <boost/asio/post.hpp>

#include <atomic>
#include <future>
#include <mutex>
#include <thread>

using namespace masticstep;
using namespace masticstep::control;

namespace {

class InMemoryStore : public platform::ObjectStore
{
public:
  explicit InMemoryStore(net::Executor aExecutor)
    : mExecutor(std::move(aExecutor))
  {
  }
  void Submit(platform::PlatformRequest aRequest, Callback aCallback) override
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    boost::asio::post(mExecutor, [reply = mPlatform.Apply(aRequest),
                                  callback = std::move(aCallback)] { callback(reply); });
  }

private:
  net::Executor mExecutor;
  std::mutex mMutex;
  platform::InMemoryPlatform mPlatform;
};

// Engine that reports each new order as running and, when it is repeated, as done.
class Engine : public net::HttpHandler
{
public:
  net::Task<void> Handle(net::HttpRequest aRequest, net::HttpResponder& aResponder) override
  {
    const std::string id = FieldOf(aRequest.body, "order_id");
    net::HttpResponse response;
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      const bool repeated = id == mLastOrderId;
      mLastOrderId = id;
      mNewOrderBodies += repeated ? "" : aRequest.body + "\n";
      response = net::JsonResponse(200, R"({"order_id":")" + id + R"(","state":")" +
                                          (repeated ? "done" : "running") + R"("})");
    }
    co_await aResponder.Send(std::move(response));
  }
  net::HttpResponse Refuse(unsigned aStatus, const net::NetError&) override
  {
    return { aStatus, {}, "" };
  }
  std::string NewOrderBodies()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mNewOrderBodies;
  }

private:
  static std::string FieldOf(const std::string& aBody, const std::string& aName)
  {
    const std::size_t start = aBody.find("\"" + aName + "\":\"") + aName.size() + 4;
    return aBody.substr(start, aBody.find('"', start) - start);
  }

  std::mutex mMutex;
  std::string mLastOrderId;
  std::string mNewOrderBodies;
};

AuthorityOptions MakeOptions(const std::string& aNonce)
{
  AuthorityOptions options;
  options.dataCentre = DataCentreName{ "regina-a" };
  options.holder = HostName{ aNonce };
  options.processNonce = aNonce;
  options.lease = Seconds(60);
  options.orderPollInterval = Milliseconds(5);
  return options;
}

void WaitForLease(const EngineAuthority& aAuthority)
{
  while (!aAuthority.IsHolder()) {
    std::this_thread::yield();
  }
}

CommandResult SendCommandAndWait(EngineAuthority& aAuthority, const std::string& aEngine)
{
  std::promise<CommandResult> promise;
  aAuthority.SendCommand({ EngineId{ aEngine }, "set_role", "prefill" },
                         [&promise](CommandResult aResult) { promise.set_value(aResult); });
  return promise.get_future().get();
}

class RecordingDrainer : public EngineDrainer
{
public:
  void Drain(const EngineId& aEngine) override { Record("drain " + aEngine.Text() + "\n"); }
  void Resume(const EngineId& aEngine) override { Record("resume " + aEngine.Text() + "\n"); }
  std::string Events()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mEvents;
  }

private:
  void Record(const std::string& aEvent)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mEvents += aEvent;
  }

  std::mutex mMutex;
  std::string mEvents;
};

} // namespace

// Guards invariants I1 and I2 in the I/O layer, against a role order to an engine that is not
// drained and against an engine that stays out of service after the order.
MASTICSTEP_TEST("a planned role change drains, orders and resumes the engine", "[control][roles]")
{
  net::WorkerPool workers(2);
  const std::shared_ptr<Engine> engine = std::make_shared<Engine>();
  const std::unique_ptr<net::HttpServer> server =
    *net::HttpServer::Create(workers.Context(), { "127.0.0.1", 0 }, {}, engine);
  const std::shared_ptr<EngineAuthority> authority = std::make_shared<EngineAuthority>(
    workers.Context().get_executor(),
    std::make_shared<InMemoryStore>(workers.Context().get_executor()), MakeOptions("a"));
  const std::shared_ptr<RecordingDrainer> drainer = std::make_shared<RecordingDrainer>();
  const std::shared_ptr<RoleController> controller =
    std::make_shared<RoleController>(authority, drainer, roles::RolePolicy{});
  std::vector<EngineTarget> engines;
  engines.reserve(6);
  for (int i = 0; i < 6; ++i) {
    engines.push_back(
      { EngineId{ "e" + std::to_string(i) }, { "127.0.0.1", server->Port() }, "", true });
  }
  authority->SetEngines(engines);
  Time now{ Seconds(1) };
  // Every engine starts in the role that the workload does not need.
  const auto step = [&] {
    now += Seconds(1);
    for (const EngineTarget& target : engines) {
      controller->OnEngineStatus({ target.engine, roles::Role::Decode, true, 0 }, now);
    }
    controller->OnWorkload({ 5.0, 0.1 }, now);
    controller->Tick(now);
  };
  for (int i = 0; i < 120; ++i) {
    step();
  }
  CHECK_EQUAL(std::string(), drainer->Events()); // the lease is not held yet
  authority->Start();
  WaitForLease(*authority);
  for (int i = 0; i < 10 && engine->NewOrderBodies().empty(); ++i) {
    step();
  }
  CHECK_TRUE(drainer->Events().starts_with("drain e"));
  while (drainer->Events().find("resume") == std::string::npos) {
    std::this_thread::yield();
  }
  CHECK_TRUE(engine->NewOrderBodies().find("set_role") != std::string::npos);
  authority->Release();
  workers.Stop();
}

// Guards invariants I1 and I3 in the I/O layer, against orders that are sent without the lease,
// without its fencing token or more than once.
MASTICSTEP_TEST("only the lease holder gives orders, each with its fencing token", "[control]")
{
  net::WorkerPool workers(2);
  const std::shared_ptr<Engine> engine = std::make_shared<Engine>();
  const std::unique_ptr<net::HttpServer> server =
    *net::HttpServer::Create(workers.Context(), { "127.0.0.1", 0 }, {}, engine);
  const std::shared_ptr<InMemoryStore> store =
    std::make_shared<InMemoryStore>(workers.Context().get_executor());
  const std::vector<EngineTarget> engines{
    { EngineId{ "e" }, { "127.0.0.1", server->Port() }, "", true }
  };
  {
    EngineAuthority first(workers.Context().get_executor(), store, MakeOptions("a"));
    EngineAuthority second(workers.Context().get_executor(), store, MakeOptions("b"));
    first.SetEngines(engines);
    second.SetEngines(engines);
    first.Start();
    WaitForLease(first);
    second.Start();
    CHECK_TRUE(SendCommandAndWait(second, "e") == CommandResult::NotHolder);
    CHECK_TRUE(SendCommandAndWait(first, "other") == CommandResult::UnknownEngine);
    CHECK_TRUE(SendCommandAndWait(first, "e") == CommandResult::Done);
    CHECK_TRUE(SendCommandAndWait(first, "e") == CommandResult::Done);
    CHECK_FALSE(second.IsHolder());
    first.Release();
    CHECK_TRUE(SendCommandAndWait(first, "e") == CommandResult::NotHolder);
  }
  workers.Stop();
  const std::string newOrderBodies = engine->NewOrderBodies();
  CHECK_EQUAL(2, std::count(newOrderBodies.begin(), newOrderBodies.end(), '\n'));
  CHECK_TRUE(newOrderBodies.find(R"("fencing":1)") != std::string::npos);
}
