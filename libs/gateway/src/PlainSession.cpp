#include "PlainSession.hpp"

#include "Authentication.hpp"
#include "ForwardedHeaders.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/Sleep.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <utility>

namespace masticstep::gateway {

using telemetry::Level;

namespace {

constexpr Duration kConnectTimeout = Milliseconds(500);
constexpr std::size_t kMaximumResponseBytes = 16777216;
constexpr Duration kRetryAfter = Seconds(1);

const char* ErrorTypeOf(orders::ResponseReason aReason)
{
  switch (aReason) {
    case orders::ResponseReason::RequestMismatch:
      return "key_conflict";
    case orders::ResponseReason::InvalidKey:
    case orders::ResponseReason::KeyTooFarInFuture:
    case orders::ResponseReason::KeyTooOld:
      return "bad_key";
    case orders::ResponseReason::DeadlineExceeded:
      return "deadline";
    case orders::ResponseReason::BackendUnreachable:
    case orders::ResponseReason::BackendNoResponse:
      return "server_failed";
    default:
      return "order_refused";
  }
}

Result<net::HttpResponse, Refusal> ToResult(const orders::OrderResponse& aAnswer)
{
  if (aAnswer.kind != orders::ResponseKind::Executed) {
    const bool hasNotRun = aAnswer.kind == orders::ResponseKind::NotRun;
    Refusal refusal{ aAnswer.httpStatus, ErrorTypeOf(aAnswer.reason),
                     orders::MessageOf(aAnswer.reason),
                     hasNotRun ? RunState::NotRun : RunState::Unknown, std::nullopt };
    if (refusal.status == 503 && hasNotRun) {
      refusal.retryAfter = kRetryAfter;
    }
    return Failure(std::move(refusal));
  }
  net::HttpResponse response{ aAnswer.httpStatus, {}, aAnswer.body };
  if (!aAnswer.contentType.empty()) {
    response.headers.push_back({ "Content-Type", aAnswer.contentType });
  }
  if (aAnswer.replayed) {
    response.headers.push_back({ "Idempotent-Replayed", "true" });
  }
  return response;
}

} // namespace

PlainSession::PlainSession(std::shared_ptr<GatewayParts> aParts, RequestName aName,
                           net::HttpResponder& aResponder)
  : mParts(std::move(aParts))
  , mName(std::move(aName))
  , mResponder(aResponder)
  , mArrived(net::Now())
{
}

Result<void, Refusal> PlainSession::Prepare(const net::HttpRequest& aRequest)
{
  mConfiguration = mParts->configuration.Current();
  if (!mConfiguration) {
    return Failure(Refusal{ 503, "not_ready", "no configuration is in force yet", RunState::NotRun,
                            kRetryAfter });
  }
  const Result<const ClientAccount*, Refusal> account =
    Authenticate(*mConfiguration, aRequest.headers);
  if (!account) {
    return Failure(account.error());
  }
  mAccount = *account;
  const Result<PlainPath, Refusal> path = PlainPath::Parse(aRequest.target);
  if (!path) {
    return Failure(path.error());
  }
  mPath = *path;
  mService = mConfiguration->FindService(mPath.service);
  if (mService == nullptr || mService->kind != ServiceKind::Plain ||
      !MayUse(*mAccount, mPath.service)) {
    return Failure(NotFound("service '" + mPath.service.Text() + "' is unknown to this account"));
  }
  mDeadline = mArrived + mService->timeout;
  return {};
}

net::Task<void> PlainSession::Run(net::HttpRequest aRequest)
{
  const Result<void, Refusal> prepared = Prepare(aRequest);
  if (!prepared) {
    co_await Respond(Failure(prepared.error()));
    co_return;
  }
  const std::unique_ptr<RunningRequests::Entry> entry =
    mParts->running.Add(mName.number, co_await boost::asio::this_coro::executor, nullptr);
  Result<net::HttpResponse, Refusal> result;
  if (IsRepeatable(*mService, aRequest.method, mPath.path)) {
    result = co_await CallRepeatable(std::move(aRequest));
  } else {
    result = co_await CallOnce(std::move(aRequest));
  }
  co_await Respond(std::move(result));
}

EngineQuery PlainSession::BuildQuery() const
{
  EngineQuery query;
  query.id = mName.number;
  query.service = mService->name;
  query.account = mAccount->name;
  query.arrived = mArrived;
  query.deadline = mDeadline;
  query.excluded = mExcluded;
  return query;
}

const BackendServer* PlainSession::FindServer(const EngineId& aServer) const
{
  const auto found =
    std::find_if(mService->backendServers.begin(), mService->backendServers.end(),
                 [&aServer](const BackendServer& aOther) { return aOther.name == aServer; });
  return found == mService->backendServers.end() ? nullptr : &*found;
}

const BackendServer* PlainSession::ChooseServer()
{
  const Result<EngineId, SelectionFailure> chosen =
    mParts->servers->Choose(BuildQuery(), net::Now());
  return chosen ? FindServer(*chosen) : nullptr;
}

std::vector<order_service::OrderTarget> PlainSession::OrderTargets(const net::HttpRequest& aRequest)
{
  std::vector<order_service::OrderTarget> targets;
  std::vector<EngineId> serverNames;
  while (const BackendServer* server = ChooseServer()) {
    mParts->servers->OnFinished(mName.number, net::Now());
    targets.push_back({ AddressOf(server->url), ForwardedRequest(aRequest, *server) });
    serverNames.push_back(server->name);
    mExcluded.push_back(server->name);
  }
  if (!serverNames.empty()) {
    mExcluded.assign(serverNames.begin() + 1, serverNames.end());
    ChooseServer();
  }
  return targets;
}

net::HttpRequest PlainSession::ForwardedRequest(const net::HttpRequest& aRequest,
                                                const BackendServer& aServer) const
{
  net::HttpRequest request;
  request.method = aRequest.method;
  request.target = aServer.url.path + mPath.target;
  request.headers = ForwardedHeaders(aRequest.headers);
  request.headers.push_back({ "X-Request-Id", mName.text });
  request.headers.push_back({ "X-Account", mAccount->name.Text() });
  request.body = aRequest.body;
  return request;
}

net::Task<Result<net::HttpResponse, Refusal>> PlainSession::CallRepeatable(
  net::HttpRequest aRequest)
{
  mParts->retry.OnFirstAttempt(mService->name);
  while (true) {
    const BackendServer* server = ChooseServer();
    if (server == nullptr) {
      mParts->servers->OnFailed(mName.number, EngineFailure::Refused, net::Now());
      const RunState run = mMayHaveRun ? RunState::Unknown : RunState::NotRun;
      co_return Failure(
        Refusal{ 503, "no_server", "no server of the service is available", run, kRetryAfter });
    }
    const net::FetchLimits limits{ kConnectTimeout,
                                   std::max(mDeadline - net::Now(), Milliseconds(1)),
                                   kMaximumResponseBytes };
    Result<net::HttpResponse, net::FetchError> reply = co_await net::FetchOverNewConnection(
      *mParts->pool, AddressOf(server->url), ForwardedRequest(aRequest, *server), limits);
    if (reply) {
      mParts->servers->OnFinished(mName.number, net::Now());
      reply->headers = ForwardedHeaders(reply->headers);
      co_return std::move(*reply);
    }
    const Result<retry::RetryDecision, Refusal> decision = HandleFailure(*server, reply.error());
    if (!decision) {
      co_return Failure(decision.error());
    }
    co_await net::Sleep(decision->delay);
  }
}

Result<retry::RetryDecision, Refusal> PlainSession::HandleFailure(const BackendServer& aServer,
                                                                  const net::FetchError& aError)
{
  const bool isTimeout = aError.error.kind == net::NetErrorKind::TimedOut;
  const EngineFailure failure =
    aError.mayHaveArrived ? EngineFailure::Broken : EngineFailure::ConnectionFailed;
  mParts->servers->OnFailed(mName.number, failure, net::Now());
  telemetry::Log(Level::Warning, "call of plain service failed",
                 { { "request_id", mName.text },
                   { "server", aServer.name.Text() },
                   { "problem", net::ToString(aError.error) } });
  retry::Attempt attempt;
  attempt.id = mName.number;
  attempt.service = mService->name;
  attempt.progress = aError.mayHaveArrived ? retry::Progress::Unknown : retry::Progress::NotSent;
  attempt.isRepeatable = true;
  attempt.mayHaveRunBefore = mMayHaveRun;
  attempt.retries = mRetries;
  attempt.deadline = mDeadline;
  const retry::RetryDecision decision = mParts->retry.Decide(attempt, net::Now());
  mMayHaveRun = decision.mayHaveRun;
  if (decision.kind == retry::RetryKind::Retry) {
    ++mRetries;
    mExcluded.push_back(aServer.name);
    return decision;
  }
  return Failure(Refusal{ isTimeout ? 504U : 503U, isTimeout ? "deadline" : "server_failed",
                          "the server failed: " + net::ToString(aError.error), decision.run,
                          kRetryAfter });
}

net::Task<Result<net::HttpResponse, Refusal>> PlainSession::CallOnce(net::HttpRequest aRequest)
{
  std::string key(net::FindHeader(aRequest.headers, "Idempotency-Key"));
  if (key.empty()) {
    co_return Failure(
      BadInput("Idempotency-Key: missing; this call is not repeatable and needs one"));
  }
  if (!mParts->orders) {
    co_return Failure(
      Refusal{ 503, "not_ready", "the daemon is starting", RunState::NotRun, kRetryAfter });
  }
  order_service::OrderCall call;
  call.service = mService->name;
  call.account = mAccount->name;
  call.key = std::move(key);
  call.digest = order_service::DigestOf(aRequest);
  call.targets = OrderTargets(aRequest);
  call.deadline = mDeadline;
  const orders::OrderResponse answer = co_await mParts->orders->Execute(std::move(call));
  mParts->servers->OnFinished(mName.number, net::Now());
  co_return ToResult(answer);
}

net::Task<void> PlainSession::Respond(Result<net::HttpResponse, Refusal> aResult)
{
  const Duration spent = net::Now() - mArrived;
  const unsigned status = aResult ? aResult->status : aResult.error().status;
  telemetry::Log(Level::Info, aResult ? "call finished" : "call refused",
                 { { "request_id", mName.text },
                   { "status", status },
                   { "type", aResult ? "" : aResult.error().type },
                   { "run", aResult ? "" : ToString(aResult.error().run) },
                   { "account", mAccount == nullptr ? "" : mAccount->name.Text() },
                   { "service", mPath.service.Text() },
                   { "milliseconds", ToSeconds(spent) * 1000.0 } });
  if (!aResult) {
    mParts->metrics->GetCounter({ "masticstep_refusals_total", "type", aResult.error().type })
      ->Add();
    co_await mResponder.Send(ToResponse(aResult.error(), mName.text));
    co_return;
  }
  aResult->headers.push_back({ "X-Request-Id", mName.text });
  co_await mResponder.Send(std::move(*aResult));
}

} // namespace masticstep::gateway
