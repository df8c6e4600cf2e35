#include "EngineStream.hpp"

#include "masticstep/net/Clock.hpp"

#include <boost/asio/this_coro.hpp>

#include <utility>

namespace masticstep::gateway {

namespace {

constexpr Duration kConnectTimeout = Milliseconds(500);
// Engines send at least a keep-alive comment every 500 ms; by design, a silent engine is detected
// within 2 s.
constexpr Duration kSilenceTimeout = Seconds(2);
// The end of a complete response usually arrives with its last event.
constexpr Duration kFinishTimeout = Milliseconds(200);
constexpr std::size_t kMaximumErrorBodyBytes = 4096;

} // namespace

EngineStream::EngineStream(std::shared_ptr<net::ConnectionPool> aPool, net::HostPort aEngine,
                           std::string aRequestId)
  : mPool(std::move(aPool))
  , mEngine(std::move(aEngine))
  , mRequestId(std::move(aRequestId))
{
}

StreamFailure EngineStream::ToStreamFailure(const net::NetError& aError) const
{
  const bool isSilent = mIsAbandoned || aError.kind == net::NetErrorKind::TimedOut;
  return { isSilent ? StreamFailureKind::Silent : StreamFailureKind::Broken, 0,
           net::ToString(aError) };
}

net::HttpRequest EngineStream::ResumeRequest(std::uint32_t aOffset) const
{
  net::HttpRequest request;
  request.target = "/streams/" + mRequestId + "?offset=" + std::to_string(aOffset);
  return request;
}

void EngineStream::StartSilenceAlarm()
{
  mSilenceAlarm.emplace(mExecutor, net::Now() + kSilenceTimeout, [this] {
    StartSilenceAlarm();
    if (mOnSilent) {
      mOnSilent();
    }
  });
}

void EngineStream::ResumeAside(std::uint32_t aOffset)
{
  mNextOffset = aOffset;
  mResumption.emplace(mExecutor, mPool, mEngine, ResumeRequest(aOffset),
                      [this] { OnResumptionDone(); });
}

void EngineStream::OnResumptionDone()
{
  StreamResumption::Outcome outcome = mResumption->TakeOutcome();
  mResumption.reset();
  if (outcome) {
    mResumed.emplace(std::move(*outcome));
    (*mLease)->Close();
    return;
  }
  mIsResumeRejected = outcome.error().kind == StreamFailureKind::Rejected;
  if (mOnSilent) {
    mOnSilent();
  }
}

bool EngineStream::SwitchToResumed()
{
  if (!mResumed) {
    return false;
  }
  mLease.emplace(std::move(*mResumed));
  mResumed.reset();
  mParser = SseParser();
  return true;
}

void EngineStream::Abandon()
{
  mIsAbandoned = true;
  Disconnect();
}

template <class T>
net::Task<Result<T, net::NetError>> EngineStream::AwaitEngine(
  net::Task<Result<T, net::NetError>> aRead)
{
  StartSilenceAlarm();
  Result<T, net::NetError> result = co_await std::move(aRead);
  mSilenceAlarm.reset();
  mResumption.reset();
  co_return result;
}

net::Task<Result<void, StreamFailure>> EngineStream::Start(std::string aPath, std::string aBody)
{
  mExecutor = co_await boost::asio::this_coro::executor;
  // A refusal does not name its request, so on a used connection it could be a late copy of an
  // earlier one.
  Result<net::ConnectionPool::Lease, net::NetError> lease =
    co_await mPool->AcquireFresh(mEngine, kConnectTimeout);
  if (!lease) {
    co_return Failure(
      StreamFailure{ StreamFailureKind::NotConnected, 0, net::ToString(lease.error()) });
  }
  mLease.emplace(std::move(*lease));
  net::HttpRequest request{ "POST", std::move(aPath), {}, std::move(aBody), {} };
  request.headers.push_back({ "Content-Type", "application/json" });
  request.headers.push_back({ "X-Request-Id", mRequestId });
  mMayHaveArrived = true;
  co_return co_await SendRequest(std::move(request));
}

net::Task<Result<void, StreamFailure>> EngineStream::Resume(std::uint32_t aOffset)
{
  Disconnect();
  mParser = SseParser();
  mNextOffset = aOffset;
  mIsDone = false;
  // The pooled idle connections to a silent engine may be silent as well.
  mPool->Forget(mEngine);
  Result<net::ConnectionPool::Lease, net::NetError> lease =
    co_await mPool->AcquireFresh(mEngine, kConnectTimeout);
  if (!lease) {
    co_return Failure(
      StreamFailure{ StreamFailureKind::NotConnected, 0, net::ToString(lease.error()) });
  }
  mLease.emplace(std::move(*lease));
  net::HttpRequest request = ResumeRequest(aOffset);
  co_return co_await SendRequest(std::move(request));
}

net::Task<Result<void, StreamFailure>> EngineStream::SendRequest(net::HttpRequest aRequest)
{
  (*mLease)->PreventReuse();
  // The session ends a stream at its deadline.
  const Result<void, net::NetError> sent =
    co_await AwaitEngine((*mLease)->Send(aRequest, Time::max()));
  if (!sent) {
    if (SwitchToResumed()) {
      co_return Result<void, StreamFailure>{};
    }
    co_return Failure(ToStreamFailure(sent.error()));
  }
  const Result<net::HttpResponseHead, net::NetError> head =
    co_await AwaitEngine((*mLease)->ReadHead());
  if (!head && SwitchToResumed()) {
    co_return Result<void, StreamFailure>{};
  }
  if (!head) {
    co_return Failure(ToStreamFailure(head.error()));
  }
  if (head->status == 200) {
    co_return Result<void, StreamFailure>{};
  }
  (*mLease)->SetDeadline(net::Now() + kSilenceTimeout);
  std::string detail;
  while (detail.size() < kMaximumErrorBodyBytes) {
    const Result<std::string, net::NetError> part = co_await (*mLease)->ReadBodySome();
    if (!part || part->empty()) {
      break;
    }
    detail += *part;
  }
  co_return Failure(StreamFailure{ StreamFailureKind::Rejected, head->status, detail });
}

net::Task<Result<std::optional<TokenEvent>, StreamFailure>> EngineStream::Next()
{
  while (true) {
    std::optional<std::string> data = mParser.Next();
    if (data) {
      co_return ParseEvent(*data);
    }
    if (mParser.IsOverlong()) {
      Disconnect();
      co_return Failure(StreamFailure{ StreamFailureKind::Broken, 0, "event is too long" });
    }
    if (!mLease) {
      co_return Failure(StreamFailure{ StreamFailureKind::Broken, 0, "connection was dropped" });
    }
    const Result<std::string, net::NetError> part = co_await AwaitEngine((*mLease)->ReadBodySome());
    if (!part && SwitchToResumed()) {
      continue;
    }
    if (!part) {
      co_return Failure(ToStreamFailure(part.error()));
    }
    if (part->empty()) {
      co_return Failure(StreamFailure{ StreamFailureKind::Broken, 0, "stream ended early" });
    }
    mParser.Feed(*part);
  }
}

Result<std::optional<TokenEvent>, StreamFailure> EngineStream::ParseEvent(const std::string& aData)
{
  if (aData == "[DONE]") {
    mIsDone = true;
    return std::optional<TokenEvent>();
  }
  std::optional<TokenEvent> token = TokenEvent::Parse(aData);
  if (!token) {
    Disconnect();
    if (IsErrorEvent(aData)) {
      return Failure(StreamFailure{ StreamFailureKind::Failed, 0, "engine reported an error" });
    }
    return Failure(StreamFailure{ StreamFailureKind::Broken, 0, "not a token event" });
  }
  if (token->id != mRequestId || token->offset != mNextOffset) {
    Disconnect();
    return Failure(StreamFailure{ StreamFailureKind::Mismatched, 0,
                                  "got offset " + std::to_string(token->offset) + " of " +
                                    token->id + ", expected " + std::to_string(mNextOffset) });
  }
  ++mNextOffset;
  return token;
}

net::Task<void> EngineStream::Finish()
{
  if (!mIsDone || !mLease) {
    co_return;
  }
  (*mLease)->SetDeadline(net::Now() + kFinishTimeout);
  while (true) {
    const Result<std::string, net::NetError> part = co_await (*mLease)->ReadBodySome();
    if (!part || part->empty()) {
      co_return;
    }
  }
}

void EngineStream::Disconnect()
{
  mResumption.reset();
  mResumed.reset();
  if (mLease) {
    (*mLease)->Close();
  }
}

} // namespace masticstep::gateway
