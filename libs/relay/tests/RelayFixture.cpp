#include "RelayFixture.hpp"

#include "masticstep/net/Clock.hpp"
#include "masticstep/net/Sleep.hpp"
#include "masticstep/relay/RelayHandler.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <charconv>
#include <sstream>
#include <utility>

namespace masticstep::relay {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr Duration kRunTime = Milliseconds(50);

std::string Chunk(const std::string& aText)
{
  std::array<char, 16> size{};
  const std::to_chars_result end =
    std::to_chars(size.data(), size.data() + size.size(), aText.size(), 16);
  return std::string(size.data(), end.ptr) + "\r\n" + aText + "\r\n";
}

dispatch::Route MakeRoute(const std::string& aPrefix, dispatch::CallKind aKind,
                          const std::string& aService)
{
  dispatch::Route route;
  route.name = aPrefix;
  route.host = "a.example";
  route.pathPrefix = aPrefix;
  route.kind = aKind;
  route.timeout = Seconds(5);
  route.target = Milliseconds(500);
  route.shares = { { ServiceName{ aService }, 1 } };
  return route;
}

std::vector<dispatch::PromptPart> ParseParts(std::string_view aIds)
{
  std::vector<dispatch::PromptPart> parts;
  std::istringstream text{ std::string(aIds.empty() ? "1,2" : aIds) };
  for (std::string id; std::getline(text, id, ',');) {
    parts.push_back({ std::stoull(id), 500 });
  }
  return parts;
}

std::shared_ptr<const dispatch::RouteTable> Table(
  std::uint64_t aVersion, std::shared_ptr<const accounts::AccountDirectory> aAccounts,
  std::vector<dispatch::ServiceShare> aResumeShares = { { ServiceName{ "llm" }, 1 } })
{
  dispatch::RouteTable::Parts parts;
  parts.version = aVersion;
  parts.accounts = std::move(aAccounts);
  parts.routes = { MakeRoute("/once/", dispatch::CallKind::NonIdempotent, "plain"),
                   MakeRoute("/again/", dispatch::CallKind::Idempotent, "plain"),
                   MakeRoute("/stream/", dispatch::CallKind::Stream, "llm"),
                   MakeRoute("/resume/", dispatch::CallKind::Stream, "llm") };
  parts.routes.push_back(MakeRoute("/soon/", dispatch::CallKind::NonIdempotent, "plain"));
  parts.routes[4].timeout = Milliseconds(50);
  parts.routes[1].attempts = 2;
  parts.routes[3].attempts = 2;
  parts.routes[3].isResumable = true;
  parts.routes[3].shares = std::move(aResumeShares);
  parts.routes.push_back(MakeRoute("/single/", dispatch::CallKind::Stream, "llm"));
  parts.routes[5].isResumable = true;
  parts.routes.push_back(MakeRoute("/brief/", dispatch::CallKind::Stream, "llm"));
  parts.routes[6].timeout = Milliseconds(600);
  return *dispatch::RouteTable::Create(std::move(parts));
}

} // namespace

Result<Call, CallError> TestDialect::ParseCall(net::HttpRequest aRequest) const
{
  Call call;
  call.id = std::string(net::FindHeader(aRequest.headers, "Id"));
  if (call.id.empty()) {
    return Failure(CallError{ "no id" });
  }
  call.method = aRequest.method;
  call.target = aRequest.target;
  call.host = "a.example";
  call.headers = { { "Id", call.id } };
  call.body = aRequest.body;
  const std::string lastEventId(net::FindHeader(aRequest.headers, "Last-Event-Id"));
  if (!lastEventId.empty()) {
    call.lastEventId = std::stoull(lastEventId);
  }
  call.resumedCallId = std::string(net::FindHeader(aRequest.headers, "Resumes"));
  const std::string key(net::FindHeader(aRequest.headers, "Key"));
  if (!key.empty()) {
    call.credentials = { accounts::Credentials::Kind::Key, key };
  }
  call.prompt =
    dispatch::Prompt{ "m", 1000, 10, ParseParts(net::FindHeader(aRequest.headers, "Parts")) };
  return call;
}

net::HttpRequest TestDialect::BuildBackendRequest(const Call& aCall,
                                                  const SendOptions& aOptions) const
{
  net::HttpRequest request{ aCall.method, aCall.target, aCall.headers, aCall.body, {} };
  request.headers.push_back({ "For", aOptions.backend.Text() });
  if (aOptions.account) {
    request.headers.push_back({ "Account", aOptions.account->Text() });
  }
  if (aOptions.prefillOnly) {
    request.headers.push_back({ "Read-Only", "1" });
  }
  if (aOptions.source) {
    request.headers.push_back({ "Source", aOptions.source->id });
  }
  if (aOptions.lastEventId) {
    request.headers.push_back({ "Resume-After", std::to_string(*aOptions.lastEventId) });
  }
  return request;
}

BackendResponseHead TestDialect::ParseResponseHead(const net::HttpResponseHead& aHead) const
{
  BackendResponseHead answer;
  answer.status = aHead.status;
  answer.callId = std::string(net::FindHeader(aHead.headers, "Id"));
  answer.isSigned = !net::FindHeader(aHead.headers, "Signed").empty();
  const std::string limit(net::FindHeader(aHead.headers, "Limit"));
  const std::string retryAfter(net::FindHeader(aHead.headers, "Retry-After"));
  if (!retryAfter.empty()) {
    answer.retryAfter = FromSeconds(std::stod(retryAfter));
  }
  answer.requestLimit = limit.empty() ? std::nullopt : std::optional<double>(std::stod(limit));
  answer.isLeaving = !net::FindHeader(aHead.headers, "Leaving").empty();
  answer.notExecuted = !net::FindHeader(aHead.headers, "Not-Run").empty();
  return answer;
}

net::HttpHeaders TestDialect::SelectCallerHeaders(const net::HttpHeaders& aHeaders) const
{
  net::HttpHeaders headers;
  headers.push_back({ "Signed", std::string(net::FindHeader(aHeaders, "Signed")) });
  return headers;
}

std::optional<std::string> TestDialect::ParseKvCacheHandle(std::string_view aBody) const
{
  return aBody.empty() ? std::nullopt : std::optional<std::string>(aBody);
}

net::HttpRequest TestDialect::BuildKvCacheRelease(const KvCacheHandle& aHandle) const
{
  return { "DELETE", "/handles/" + aHandle.id, {}, {}, {} };
}

net::HttpHeaders TestDialect::AuthenticationChallenge() const
{
  return { { "WWW-Authenticate", "Key" } };
}

ScriptedBackend::ScriptedBackend(Script aScript)
  : mScript(std::move(aScript))
  , mWorkers(1)
  , mAcceptor(mWorkers.Context(), tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
{
  asio::co_spawn(
    mWorkers.Context(), [this] { return Accept(); }, asio::detached);
}

ScriptedBackend::~ScriptedBackend()
{
  mWorkers.Stop();
}

std::uint16_t ScriptedBackend::Port() const
{
  return mAcceptor.local_endpoint().port();
}

std::vector<std::string> ScriptedBackend::Requests() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mRequests;
}

void ScriptedBackend::WaitForClose()
{
  mClosed.get_future().wait();
}

net::Task<void> ScriptedBackend::Accept()
{
  while (true) {
    auto [ec, socket] = co_await mAcceptor.async_accept(asio::as_tuple(asio::use_awaitable));
    if (ec) {
      co_return;
    }
    asio::co_spawn(
      mWorkers.Context(),
      [this, moved = tcp::socket(std::move(socket))]() mutable { return Serve(std::move(moved)); },
      asio::detached);
  }
}

net::Task<void> ScriptedBackend::Serve(tcp::socket aSocket)
{
  std::array<char, 8192> buf{};
  std::string late;
  while (true) {
    const auto [ec, n] =
      co_await aSocket.async_read_some(asio::buffer(buf), asio::as_tuple(asio::use_awaitable));
    if (ec) {
      if (!mIsClosed.exchange(true)) {
        mClosed.set_value();
      }
      co_return;
    }
    const std::string request(buf.data(), n);
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      mRequests.push_back(request);
    }
    const ScriptedResponse answer = mScript(request);
    if (!late.empty()) {
      co_await asio::async_write(aSocket, asio::buffer(late), asio::as_tuple(asio::use_awaitable));
      co_await net::Sleep(kRunTime); // the request runs
    }
    late = answer.late;
    co_await asio::async_write(aSocket, asio::buffer(answer.text),
                               asio::as_tuple(asio::use_awaitable));
    if (answer.silence > Duration::zero()) {
      co_await net::Sleep(answer.silence);
      co_await asio::async_write(aSocket, asio::buffer(answer.afterSilence),
                                 asio::as_tuple(asio::use_awaitable));
    }
    while (!answer.repeated.empty()) {
      co_await net::Sleep(Milliseconds(200));
      const auto [failure, written] = co_await asio::async_write(
        aSocket, asio::buffer(answer.repeated), asio::as_tuple(asio::use_awaitable));
      if (failure) {
        co_return;
      }
    }
    if (answer.then == ScriptedResponse::Then::Crash) {
      mAcceptor.close();
    }
    if (answer.then == ScriptedResponse::Then::Reset) {
      // Closed here, since the socket's destructor would reset the linger option.
      aSocket.set_option(asio::socket_base::linger(true, 0));
      aSocket.close();
    }
    if (answer.then != ScriptedResponse::Then::KeepOpen) {
      co_return;
    }
  }
}

RelayFixture::RelayFixture(bool aHasTable)
  : mWorkers(1)
  , mState(std::make_shared<RelayState>(
      mWorkers.Context().get_executor(), std::make_shared<TestDialect>(),
      dispatch::Locality{ DataCentreName{ "d0" }, RegionName{ "r" } }, 1))
{
  // Tests send single requests, so no earlier requests have filled the retry budget.
  mState->retryBudget.SetBounds(dispatch::RetryBounds{ 0.2, 640.0, Seconds(10) });
  mState->dispatcher.SetFleet(HostName{ "h0" }, { HostName{ "h0" } });
  if (aHasTable) {
    mState->table = Table(3, nullptr);
    mState->dispatcher.SetTable(mState->table);
  }
  mServer = *net::HttpServer::Create(mWorkers.Context(), { "127.0.0.1", 0 }, net::ServerLimits{},
                                     std::make_shared<RelayHandler>(mState));
}

RelayFixture::~RelayFixture()
{
  mWorkers.Stop();
  mState->pool->Close();
}

void RelayFixture::Add(const std::string& aId, const std::string& aService,
                       const ScriptedBackend& aBackend, dispatch::Stage aStage,
                       const std::string& aSoftwareVersion)
{
  AddAt(aId, aService, aBackend.Port(), aStage, aSoftwareVersion);
}

void RelayFixture::AddUnreachable(const std::string& aId, const std::string& aService,
                                  dispatch::Stage aStage)
{
  constexpr std::uint16_t kClosedPort = 1;
  AddAt(aId, aService, kClosedPort, aStage, "v1");
}

void RelayFixture::AddAt(const std::string& aId, const std::string& aService, std::uint16_t aPort,
                         dispatch::Stage aStage, const std::string& aSoftwareVersion)
{
  dispatch::Backend backend;
  backend.id = BackendServerName{ aId };
  backend.service = ServiceName{ aService };
  backend.address = { "127.0.0.1", aPort };
  backend.dataCentre = DataCentreName{ "d" + std::to_string(mBackends.size()) };
  backend.region = RegionName{ mBackends.size() < 2 ? "r" : "far" };
  backend.slots = 8;
  backend.stage = aStage;
  backend.softwareVersion = SoftwareVersion{ aSoftwareVersion };
  mBackends.push_back(backend);
  ApplyBackends();
}

void RelayFixture::RunOnRelay(std::function<void()> aFunction)
{
  asio::post(mState->executor, asio::use_future(std::move(aFunction))).get();
}

void RelayFixture::SetAccounts(std::vector<accounts::ClientAccount> aAccounts)
{
  RunOnRelay([&] {
    mState->table = Table(mState->table->Version() + 1,
                          *accounts::AccountDirectory::Create(std::move(aAccounts)));
    mState->dispatcher.SetTable(mState->table);
    mState->duties.host = HostName{ "h0" };
    mState->duties.windows = duties::UsageWindows(Seconds(3600));
  });
}

void RelayFixture::SplitResume(std::vector<dispatch::ServiceShare> aShares)
{
  RunOnRelay([&] {
    mState->table = Table(mState->table->Version() + 1, nullptr, std::move(aShares));
    mState->dispatcher.SetTable(mState->table);
  });
}

void RelayFixture::CompleteHistory()
{
  RunOnRelay([&] { mState->streamOrigins.OnHistoryRead({}, net::Now()); });
}

void RelayFixture::SetFreshness(accounts::ConfigurationFreshness aFreshness)
{
  RunOnRelay([&] { mState->freshness = aFreshness; });
}

std::uint32_t RelayFixture::UsageOf(const AccountName& aAccount)
{
  std::uint32_t count = 0;
  RunOnRelay([&] {
    const duties::WindowNumber window =
      mState->duties.windows->At(mState->duties.clock.At(net::Now()));
    for (duties::WindowNumber i = window - 1; i <= window; ++i) {
      const duties::AccountCounts counts = mState->duties.byHost.Total(i);
      const auto found = counts.find(aAccount);
      count += found == counts.end() ? 0 : found->second;
    }
  });
  return count;
}

void RelayFixture::Remove(const std::string& aId)
{
  std::erase_if(mBackends, [&aId](const dispatch::Backend& aBackend) {
    return aBackend.id == BackendServerName{ aId };
  });
  ApplyBackends();
}

void RelayFixture::SetStage(const std::string& aId, dispatch::Stage aStage)
{
  for (dispatch::Backend& backend : mBackends) {
    if (backend.id == BackendServerName{ aId }) {
      backend.stage = aStage;
    }
  }
  ApplyBackends();
}

void RelayFixture::ApplyBackends()
{
  std::map<BackendServerName, dispatch::Backend> all;
  for (const dispatch::Backend& item : mBackends) {
    all[item.id] = item;
  }
  // On the event loop, which owns the state.
  asio::post(mState->executor, asio::use_future([this, &all] {
               mState->directory.Replace(mBackends, net::Now());
               // The directory keeps one server of an address; some tests use one for two stages.
               for (const auto& [id, known] : mState->directory.Backends()) {
                 all[id] = known;
               }
               mState->dispatcher.SetBackends(all);
               mState->streamOrigins.OnBackends(all, net::Now());
             }))
    .get();
}

std::string RelayFixture::RequestText(const std::string& aMethod, const std::string& aPath,
                                      const std::string& aExtraHeaders, const std::string& aId)
{
  return aMethod + " " + aPath + " HTTP/1.1\r\nHost: a.example\r\nId: " + aId + "\r\n" +
         aExtraHeaders + "Content-Length: 2\r\nConnection: close\r\n\r\nhi";
}

void RelayFixture::Quarantine(std::uint64_t aPart)
{
  RunOnRelay([this, aPart] {
    const Time now = net::Now();
    mState->quarantine.Quarantine({ aPart, now + Seconds(60) }, now);
  });
}

std::uint64_t RelayFixture::SecondTries(const std::string& aResult)
{
  return mState->metrics.GetCounter({ "masticstep_second_tries_total", "result", aResult })
    ->Value();
}

std::uint64_t RelayFixture::ConnectionEnds(const std::string& aReason)
{
  return mState->metrics.GetCounter({ "masticstep_connection_ends_total", "reason", aReason })
    ->Value();
}

std::unique_ptr<net::RawClient> RelayFixture::Connect() const
{
  return std::make_unique<net::RawClient>(net::HostPort{ "127.0.0.1", mServer->Port() });
}

std::string RelayFixture::SendRequest(const std::string& aMethod, const std::string& aPath,
                                      const std::string& aExtraHeaders, const std::string& aId)
{
  const std::unique_ptr<net::RawClient> client = Connect();
  client->Send(RequestText(aMethod, aPath, aExtraHeaders, aId));
  return client->ReadUntilClosed();
}

std::string SignedResponse(unsigned aStatus, const std::string& aBody, const std::string& aId)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\nId: " + aId +
         "\r\nSigned: s\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string StreamHead()
{
  return "HTTP/1.1 200 OK\r\nId: c1\r\nSigned: s\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string Events(int aFrom, int aTo)
{
  std::string text;
  for (int id = aFrom; id <= aTo; ++id) {
    text += Chunk("id: " + std::to_string(id) + "\ndata: t" + std::to_string(id) + "\n\n");
  }
  return text;
}

std::string StreamEnd()
{
  return "0\r\n\r\n";
}

} // namespace masticstep::relay
