#include "GatewayFixture.hpp"

#include "masticstep/base/Hash.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/testing/Test.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>

#include <utility>

namespace masticstep::gateway {

namespace {

boost::json::array Servers(const std::vector<std::string>& aUrls, const std::string& aPrefix)
{
  boost::json::array servers;
  for (const std::string& url : aUrls) {
    servers.push_back(boost::json::object{ { "name", aPrefix + std::to_string(servers.size() + 1) },
                                           { "url", url },
                                           { "region", "r" },
                                           { "data_centre", "d" } });
  }
  return servers;
}

std::string ModelText(const std::vector<std::string>& aUrls, unsigned aDeadline)
{
  const boost::json::object item{ { "name", "counter" },     { "deadline_ms", aDeadline },
                                  { "first_token_ms", 100 }, { "between_tokens_ms", 67 },
                                  { "priority", 1 },         { "queue_limit", 8 } };
  return boost::json::serialize(
    boost::json::object{ { "service", "drafting" },
                         { "kind", "model" },
                         { "model", "m" },
                         { "adapters", boost::json::array{} },
                         { "version", "1" },
                         { "backend_servers", Servers(aUrls, "engine-") },
                         { "classes", boost::json::array{ item } } });
}

std::string PlainText(const std::vector<std::string>& aUrls)
{
  const boost::json::array calls{
    boost::json::object{ { "method", "GET" }, { "path", "/" }, { "repeatable", true } },
    boost::json::object{ { "method", "POST" }, { "path", "/orders" }, { "repeatable", false } }
  };
  return boost::json::serialize(boost::json::object{ { "service", "ordering" },
                                                     { "kind", "plain" },
                                                     { "timeout_ms", 5000 },
                                                     { "backend_servers", Servers(aUrls, "s-") },
                                                     { "calls", calls } });
}

std::string AccountsText()
{
  const boost::json::object account{ { "name", "dealer" },
                                     { "key_sha256", Sha256Hex("key") },
                                     { "weight", 1 },
                                     { "tokens_per_s", 1000000 },
                                     { "burst_tokens", 1000000 },
                                     { "services", boost::json::array{ "drafting", "ordering" } } };
  return boost::json::serialize(
    boost::json::object{ { "accounts", boost::json::array{ account } } });
}

ConfigurationPointer MakeConfiguration(const std::vector<std::string>& aEngineUrls,
                                       const std::vector<std::string>& aPlainUrls,
                                       unsigned aDeadline)
{
  const std::vector<ConfigurationFile> files = { { "m.service.json",
                                                   ModelText(aEngineUrls, aDeadline) },
                                                 { "p.service.json", PlainText(aPlainUrls) },
                                                 { "a.accounts.json", AccountsText() } };
  Result<Configuration, Faults> created = Configuration::Create(1, files);
  CPPUNIT_ASSERT_MESSAGE(created ? "" : ToString(created.error().front()), created.has_value());
  return std::make_shared<const Configuration>(std::move(*created));
}

Settings TestSettings()
{
  Settings settings;
  settings.host = HostName("host");
  settings.region = RegionName("r");
  settings.dataCentre = DataCentreName("d");
  return settings;
}

} // namespace

TestBackend::TestBackend(Function aFunction)
  : mFunction(std::move(aFunction))
  , mWorkers(2)
  , mServer(std::move(
      *net::HttpServer::Create(mWorkers.Context(), { "127.0.0.1", 0 }, {},
                               std::shared_ptr<net::HttpHandler>(this, [](net::HttpHandler*) {}))))
{
}

TestBackend::~TestBackend()
{
  mWorkers.Stop();
}

net::Task<void> TestBackend::Handle(net::HttpRequest aRequest, net::HttpResponder& aResponder)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    std::string target = aRequest.target;
    const std::size_t id = target.find("host-");
    if (id != std::string::npos) {
      const std::size_t end = target.find('?', id);
      target.replace(id, end == std::string::npos ? end : end - id, "ID");
    }
    mLog.push_back(aRequest.method + " " + target);
  }
  co_await mFunction(std::move(aRequest), aResponder);
}

net::HttpResponse TestBackend::Refuse(unsigned aStatus, const net::NetError& /*aError*/)
{
  return { aStatus, {}, {} };
}

std::string TestBackend::Url() const
{
  return "http://127.0.0.1:" + std::to_string(mServer->Port());
}

std::vector<std::string> TestBackend::Log() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mLog;
}

std::string RequestIdOf(const net::HttpRequest& aRequest)
{
  const std::string prefix = "/streams/";
  if (aRequest.Path().starts_with(prefix)) {
    return std::string(aRequest.Path().substr(prefix.size()));
  }
  return boost::json::parse(aRequest.body).at("request_id").as_string().c_str();
}

std::string TokenText(const std::string& aId, unsigned aOffset, bool aIsLast)
{
  const std::string text = "t" + std::to_string(aOffset) + " ";
  boost::json::object choice{ { "index", 0 }, { "text", text }, { "finish_reason", nullptr } };
  if (aIsLast) {
    choice["finish_reason"] = "length";
  }
  return "data: " +
         boost::json::serialize(boost::json::object{
           { "id", aId }, { "offset", aOffset }, { "choices", boost::json::array{ choice } } }) +
         "\n\n";
}

net::Task<void> SendTokens(net::HttpResponder& aResponder, std::string aId, unsigned aFrom,
                           unsigned aTo, bool aIsComplete)
{
  net::HttpResponseHead head;
  aResponder.StartStream(std::move(head));
  for (unsigned i = aFrom; i < aTo; ++i) {
    const std::string event = TokenText(aId, i, aIsComplete && i + 1 == aTo);
    co_await aResponder.WriteChunk(event);
  }
  if (aIsComplete) {
    co_await aResponder.WriteChunk("data: [DONE]\n\n");
    co_await aResponder.EndStream();
  }
}

InMemoryStore::InMemoryStore(net::Executor aExecutor)
  : mExecutor(std::move(aExecutor))
{
}

void InMemoryStore::Submit(platform::PlatformRequest aRequest, Callback aCallback)
{
  platform::PlatformReply reply;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    reply = mPlatform.Apply(aRequest);
  }
  boost::asio::post(
    mExecutor, [callback = std::move(aCallback), reply = std::move(reply)] { callback(reply); });
}

void InMemoryStore::SetOutage(bool aOutage)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mPlatform.SetOutage(aOutage);
}

GatewayFixture::GatewayFixture(const std::vector<std::string>& aEngineUrls,
                               const std::vector<std::string>& aPlainUrls,
                               unsigned aDeadlineMilliseconds)
  : mWorkers(2)
  , mParts(std::make_shared<GatewayParts>(TestSettings(), 1))
  , mStore(std::make_shared<InMemoryStore>(mWorkers.Context().get_executor()))
  , mServer(std::move(*net::HttpServer::Create(mWorkers.Context(), { "127.0.0.1", 0 }, {},
                                               std::make_shared<CallerHandler>(mParts))))
{
  order_service::OrderServiceOptions options;
  options.daemon = HostName("host");
  options.processNonce = "0123456789abcdef";
  mParts->orders = std::make_shared<order_service::OrderService>(
    mWorkers.Context().get_executor(), mStore, std::move(options), mParts->metrics);
  mParts->Apply(MakeConfiguration(aEngineUrls, aPlainUrls, aDeadlineMilliseconds), net::Now());
}

GatewayFixture::~GatewayFixture()
{
  mWorkers.Stop();
  mParts->pool->Close();
  mParts->orders = nullptr;
}

net::HttpResponse GatewayFixture::Call(net::HttpRequest aRequest)
{
  net::WorkerPool workers(1);
  const std::shared_ptr<net::ConnectionPool> pool = net::ConnectionPool::Create();
  const net::HostPort address{ "127.0.0.1", mServer->Port() };
  net::FetchLimits limits;
  limits.total = Seconds(60);
  using Reply = Result<net::HttpResponse, net::FetchError>;
  const auto fetch = [&]() -> net::Task<Reply> {
    return net::Fetch(*pool, address, std::move(aRequest), limits);
  };
  const Reply reply =
    boost::asio::co_spawn(workers.Context(), fetch, boost::asio::use_future).get();
  CPPUNIT_ASSERT_MESSAGE(reply ? "" : net::ToString(reply.error().error), reply.has_value());
  return *reply;
}

void GatewayFixture::WaitForOrders()
{
  const auto drain = [this]() { return mParts->orders->Drain(net::Now() + Seconds(60)); };
  CPPUNIT_ASSERT(boost::asio::co_spawn(mWorkers.Context(), drain, boost::asio::use_future).get());
}

net::HttpResponse GatewayFixture::Complete(bool aIsStreaming)
{
  net::HttpRequest request{ "POST", "/v1/completions", {}, {}, {} };
  request.headers.push_back({ "Authorization", "Bearer key" });
  request.body = std::string(R"({"model":"m","prompt":"p","max_tokens":4,"stream":)") +
                 (aIsStreaming ? "true}" : "false}");
  return Call(std::move(request));
}

bool Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace masticstep::gateway
