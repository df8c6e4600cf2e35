#pragma once

#include "CallerHandler.hpp"
#include "GatewayParts.hpp"
#include "masticstep/net/HttpClient.hpp"
#include "masticstep/net/HttpServer.hpp"
#include "masticstep/net/WorkerPool.hpp"
#include "masticstep/platform/InMemoryPlatform.hpp"
#include "masticstep/platform/ObjectStore.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace masticstep::gateway {

// In-process engine or plain server. It records the requests that it receives and answers them with
// a function.
class TestBackend : public net::HttpHandler
{
public:
  using Function = std::function<net::Task<void>(net::HttpRequest, net::HttpResponder&)>;

  explicit TestBackend(Function aFunction);
  ~TestBackend() override;
  TestBackend(const TestBackend&) = delete;
  TestBackend& operator=(const TestBackend&) = delete;

  net::Task<void> Handle(net::HttpRequest aRequest, net::HttpResponder& aResponder) override;
  net::HttpResponse Refuse(unsigned aStatus, const net::NetError& aError) override;

  std::string Url() const;
  // Returns "METHOD PATH" of each request, with the request id replaced by "ID".
  std::vector<std::string> Log() const;

private:
  Function mFunction;
  mutable std::mutex mMutex;
  std::vector<std::string> mLog;
  net::WorkerPool mWorkers;
  std::unique_ptr<net::HttpServer> mServer;
};

// Returns the request id in a request from the daemon to an engine.
std::string RequestIdOf(const net::HttpRequest& aRequest);
// Returns a token event in the format that engines send.
std::string TokenText(const std::string& aId, unsigned aOffset, bool aIsLast);
// Sends tokens aFrom to aTo - 1 and, if aIsComplete, the end of the stream.
net::Task<void> SendTokens(net::HttpResponder& aResponder, std::string aId, unsigned aFrom,
                           unsigned aTo, bool aIsComplete);

// In-memory object store. Callbacks run on the executor.
class InMemoryStore : public platform::ObjectStore
{
public:
  explicit InMemoryStore(net::Executor aExecutor);

  void Submit(platform::PlatformRequest aRequest, Callback aCallback) override;
  void SetOutage(bool aOutage);

private:
  net::Executor mExecutor;
  std::mutex mMutex;
  platform::InMemoryPlatform mPlatform;
};

// Gateway that listens on loopback, with a configuration that lists the given servers.
class GatewayFixture
{
public:
  GatewayFixture(const std::vector<std::string>& aEngineUrls,
                 const std::vector<std::string>& aPlainUrls,
                 unsigned aDeadlineMilliseconds = 30000);
  ~GatewayFixture();
  GatewayFixture(const GatewayFixture&) = delete;
  GatewayFixture& operator=(const GatewayFixture&) = delete;

  GatewayParts& Parts() { return *mParts; }
  const std::shared_ptr<GatewayParts>& SharedParts() const { return mParts; }
  InMemoryStore& Store() { return *mStore; }
  net::HttpResponse Call(net::HttpRequest aRequest);
  // Waits until the outcomes of all orders are recorded.
  void WaitForOrders();
  // Requests a completion of four tokens from the test model.
  net::HttpResponse Complete(bool aIsStreaming);

private:
  net::WorkerPool mWorkers;
  std::shared_ptr<GatewayParts> mParts;
  std::shared_ptr<InMemoryStore> mStore;
  std::unique_ptr<net::HttpServer> mServer;
};

bool Contains(const std::string& aText, const std::string& aPart);

} // namespace masticstep::gateway
