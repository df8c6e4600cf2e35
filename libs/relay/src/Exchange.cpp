#include "Exchange.hpp"

#include "masticstep/net/Clock.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::relay {

namespace {

// Covers several round trips between regions. A host that is powered off never responds.
constexpr Duration kConnectTimeout = Milliseconds(250);
constexpr std::size_t kMaximumBodyBytes = 16777216;
// Of a refusal that is logged and told to the caller.
constexpr std::size_t kReportedBodyBytes = 256;
constexpr unsigned kMisdirectedRequest = 421;
// More responses to other requests, or informational ones, mean that the backend server is faulty.
constexpr std::uint32_t kMaximumSkippedResponses = 8;

bool IsInformational(unsigned aStatus)
{
  return aStatus >= 100 && aStatus < 200;
}

Duration TimeUntil(Time aDeadline)
{
  return std::max(aDeadline - net::Now(), Milliseconds(1));
}

ExchangeError MakeError(Progress aProgress, const net::NetError& aError)
{
  return { aProgress, aError.kind, net::ToString(aError) };
}

} // namespace

ExchangeError UnusableResponseError(const BackendResponseHead& aHead)
{
  return { Progress::Unknown, net::NetErrorKind::Malformed,
           "unusable answer with status " + std::to_string(aHead.status) };
}

Exchange::Exchange(RelayState& aState, const dispatch::Backend& aBackend, std::string aCallId,
                   net::ConnectionIds& aUsedConnections)
  : mState(aState)
  , mBackend(aBackend)
  , mCallId(std::move(aCallId))
  , mUsedConnections(aUsedConnections)
{
}

net::Task<Result<BackendResponseHead, ExchangeError>> Exchange::Start(net::HttpRequest aRequest,
                                                                      Time aDeadline,
                                                                      Duration aMaximumIdle)
{
  const net::HostPort address{ mBackend.address.ip, mBackend.address.port };
  const Duration connectTimeout = std::min(kConnectTimeout, TimeUntil(aDeadline));
  Result<net::ConnectionPool::Lease, net::NetError> lease =
    co_await mState.pool->AcquireOther(address, connectTimeout, aMaximumIdle, mUsedConnections);
  if (!lease) {
    co_return Failure(MakeError(Progress::NotSent, lease.error()));
  }
  mLease.emplace(std::move(*lease));
  if (mIsClosed) {
    co_return Failure(ExchangeError{ Progress::NotSent, net::NetErrorKind::Cancelled, {} });
  }
  mUsedConnections.insert((*mLease)->Id());
  const Result<void, net::NetError> sent = co_await (*mLease)->Send(aRequest, aDeadline);
  if (!sent) {
    co_return Failure(MakeError(Progress::Unknown, sent.error()));
  }
  const Result<BackendResponseHead, net::NetError> head = co_await ReadMatchingHead();
  if (!head) {
    co_return Failure(MakeError(Progress::Unknown, head.error()));
  }
  if (head->isLeaving && head->status != kMisdirectedRequest) {
    ReportLeaving();
  }
  LogRequestLimit(*head);
  if (head->requestLimit || head->isSigned || head->notExecuted) {
    mState.dispatcher.OnRequestLimit(mBackend.id, head->requestLimit, net::Now());
  }
  if (head->retryAfter) {
    ReportPause(*head->retryAfter);
  }
  if (head->isLoadUnreadable) {
    mState.metrics.GetCounter({ "masticstep_unreadable_loads_total", {}, {} })->Add();
  }
  if (head->load) {
    mState.dispatcher.OnSample(mBackend.id, *head->load, net::Now());
  }
  if (head->notExecuted || head->status == kMisdirectedRequest) {
    // Reads the whole body, so that the connection can be reused.
    const Result<std::string, net::NetError> body = co_await ReadAll();
    ExchangeError error{ Progress::NotExecuted, net::NetErrorKind::Closed,
                         "status " + std::to_string(head->status) };
    if (head->load) {
      error.detail += ", running " + std::to_string(head->load->running) + ", waiting " +
                      std::to_string(head->load->waiting);
    }
    error.detail += body ? body->substr(0, kReportedBodyBytes) : "";
    co_return Failure(std::move(error));
  }
  co_return *head;
}

void Exchange::ReportLeaving()
{
  const Time now = net::Now();
  if (mState.directory.OnLeavingAnnounced(mBackend.id, mBackend.startedAtMs, now)) {
    telemetry::Log(telemetry::Level::Info, "backend server announced that it leaves",
                   { { "request_id", mCallId }, { "backend", mBackend.id.Text() } });
    mState.ApplyDirectory(now);
  }
}

void Exchange::ReportPause(Duration aLength)
{
  mState.metrics.GetCounter({ "masticstep_backend_pauses_total", {}, {} })->Add();
  telemetry::Log(telemetry::Level::Info, "backend server wants no requests",
                 { { "request_id", mCallId },
                   { "backend", mBackend.id.Text() },
                   { "milliseconds", ToSeconds(aLength) * 1000.0 } });
  mState.dispatcher.OnPause(mBackend.id, aLength, net::Now());
}

void Exchange::LogRequestLimit(const BackendResponseHead& aHead) const
{
  if (aHead.requestLimit) {
    mState.metrics.GetCounter({ "masticstep_limited_responses_total", {}, {} })->Add();
    telemetry::Log(telemetry::Level::Info, "backend server limits requests",
                   { { "request_id", mCallId },
                     { "backend", mBackend.id.Text() },
                     { "per_second", *aHead.requestLimit } });
  }
}

bool Exchange::IsOwnAnswer(const BackendResponseHead& aAnswer) const
{
  if (IsInformational(aAnswer.status)) {
    return false;
  }
  if (!aAnswer.callId.empty()) {
    return aAnswer.callId == mCallId;
  }
  // Without an id, an answer to an earlier message looks the same.
  return mLease->IsFresh() && !mHasOtherAnswers;
}

net::Task<Result<BackendResponseHead, net::NetError>> Exchange::ReadMatchingHead()
{
  for (std::uint32_t skipped = 0; skipped <= kMaximumSkippedResponses; ++skipped) {
    Result<net::HttpResponseHead, net::NetError> head = co_await (*mLease)->ReadHead();
    if (!head) {
      co_return Failure(head.error());
    }
    BackendResponseHead answer = mState.dialect->ParseResponseHead(*head);
    if (IsOwnAnswer(answer)) {
      if (answer.callId.empty()) {
        // Skipping a later answer without an id is right only if this server names its requests.
        (*mLease)->PreventReuse();
      }
      mHead = std::move(*head);
      co_return answer;
    }
    // Informational, or a copy of the answer to an earlier message on this connection.
    mHasOtherAnswers = mHasOtherAnswers || !IsInformational(head->status);
    const Result<void, net::NetError> read = co_await (*mLease)->SkipAnswer();
    if (!read) {
      co_return Failure(read.error());
    }
  }
  (*mLease)->Close();
  co_return Failure(net::NetError{ net::NetErrorKind::Malformed, "too many other responses" });
}

net::Task<net::BodyState> Exchange::AwaitBody(Duration aTimeout)
{
  co_return co_await (*mLease)->AwaitBody(aTimeout);
}

void Exchange::CancelAwait()
{
  (*mLease)->CancelAwait();
}

net::Task<Result<std::string, net::NetError>> Exchange::ReadSome()
{
  co_return co_await (*mLease)->ReadBodySome();
}

net::Task<Result<std::string, net::NetError>> Exchange::ReadAll()
{
  std::string body;
  while (true) {
    Result<std::string, net::NetError> part = co_await (*mLease)->ReadBodySome();
    if (!part || part->empty()) {
      co_return part ? Result<std::string, net::NetError>(std::move(body)) : part;
    }
    body += *part;
    const Result<void, net::NetError> held = Hold(body.capacity());
    if (!held) {
      co_return Failure(held.error());
    }
    if (body.size() > kMaximumBodyBytes) {
      (*mLease)->Close();
      co_return Failure(net::NetError{ net::NetErrorKind::BodyTooLarge, {} });
    }
  }
}

Result<void, net::NetError> Exchange::Hold(std::size_t aBytes)
{
  return (*mLease)->Hold(aBytes);
}

net::BodyFraming Exchange::Framing()
{
  return (*mLease)->Framing();
}

void Exchange::Close()
{
  mIsClosed = true;
  if (mLease) {
    (*mLease)->Close();
  }
}

} // namespace masticstep::relay
