#include "EngineStream.hpp"

#include <utility>

namespace masticstep::gateway {

namespace {

constexpr Duration kConnectTimeout = Milliseconds(500);
constexpr Duration kSendTimeout = Seconds(2);
// Engines send at least a comment every 500 ms; the design bounds the detection of silence at 2 s.
constexpr Duration kSilenceLimit = Seconds(2);
// The end of a finished answer usually arrives with its last event.
constexpr Duration kFinishTimeout = Milliseconds(200);
constexpr std::size_t kMaximumErrorBody = 4096;

} // namespace

EngineStream::EngineStream(std::shared_ptr<net::ConnectionPool> aPool, net::HostPort aEngine,
                           std::string aRequestId)
  : mPool(std::move(aPool))
  , mEngine(std::move(aEngine))
  , mRequestId(std::move(aRequestId))
{
}

StreamFailure EngineStream::FailureOf(const net::NetError& aError) const
{
  const bool isSilent = aError.kind == net::NetErrorKind::TimedOut;
  return { isSilent ? StreamFailureKind::Silent : StreamFailureKind::Broken, 0,
           net::ToString(aError) };
}

net::Task<Result<void, StreamFailure>> EngineStream::Start(std::string aPath, std::string aBody)
{
  Result<net::ConnectionPool::Lease, net::NetError> lease =
    co_await mPool->Acquire(mEngine, kConnectTimeout);
  if (!lease) {
    co_return Failure(
      StreamFailure{ StreamFailureKind::NotConnected, 0, net::ToString(lease.error()) });
  }
  mLease.emplace(std::move(*lease));
  net::HttpRequest request{ "POST", std::move(aPath), {}, std::move(aBody), {} };
  request.headers.push_back({ "Content-Type", "application/json" });
  request.headers.push_back({ "X-Request-Id", mRequestId });
  mMayHaveArrived = true;
  co_return co_await Exchange(std::move(request));
}

net::Task<Result<void, StreamFailure>> EngineStream::Resume(std::uint32_t aOffset)
{
  Drop();
  mParser = SseParser();
  mExpected = aOffset;
  mIsDone = false;
  // Idle connections to a silent engine may be silent too.
  mPool->Forget(mEngine);
  Result<net::ConnectionPool::Lease, net::NetError> lease =
    co_await mPool->AcquireFresh(mEngine, kConnectTimeout);
  if (!lease) {
    co_return Failure(
      StreamFailure{ StreamFailureKind::NotConnected, 0, net::ToString(lease.error()) });
  }
  mLease.emplace(std::move(*lease));
  // A named request: g++ 12 destroys a braced temporary in a co_await expression twice.
  net::HttpRequest request;
  request.target = "/streams/" + mRequestId + "?offset=" + std::to_string(aOffset);
  co_return co_await Exchange(std::move(request));
}

net::Task<Result<void, StreamFailure>> EngineStream::Exchange(net::HttpRequest aRequest)
{
  const Result<void, net::NetError> sent = co_await (*mLease)->Send(aRequest, kSendTimeout);
  if (!sent) {
    co_return Failure(FailureOf(sent.error()));
  }
  const Result<net::HttpResponseHead, net::NetError> head =
    co_await (*mLease)->ReadHead(kSilenceLimit);
  if (!head) {
    co_return Failure(FailureOf(head.error()));
  }
  if (head->status == 200) {
    co_return Result<void, StreamFailure>{};
  }
  std::string detail;
  while (detail.size() < kMaximumErrorBody) {
    const Result<std::string, net::NetError> part = co_await (*mLease)->ReadBodySome(kSilenceLimit);
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
      co_return Check(*data);
    }
    if (mParser.IsOverlong()) {
      Drop();
      co_return Failure(StreamFailure{ StreamFailureKind::Broken, 0, "event is too long" });
    }
    if (!mLease) {
      co_return Failure(StreamFailure{ StreamFailureKind::Broken, 0, "connection was dropped" });
    }
    const Result<std::string, net::NetError> part = co_await (*mLease)->ReadBodySome(kSilenceLimit);
    if (!part) {
      co_return Failure(FailureOf(part.error()));
    }
    if (part->empty()) {
      co_return Failure(StreamFailure{ StreamFailureKind::Broken, 0, "stream ended early" });
    }
    mParser.Feed(*part);
  }
}

Result<std::optional<TokenEvent>, StreamFailure> EngineStream::Check(const std::string& aData)
{
  if (aData == "[DONE]") {
    mIsDone = true;
    return std::optional<TokenEvent>();
  }
  std::optional<TokenEvent> token = TokenEvent::Parse(aData);
  if (!token) {
    Drop();
    if (IsErrorEvent(aData)) {
      return Failure(StreamFailure{ StreamFailureKind::Failed, 0, "engine reported an error" });
    }
    return Failure(StreamFailure{ StreamFailureKind::Broken, 0, "not a token event" });
  }
  if (token->id != mRequestId || token->offset != mExpected) {
    Drop();
    return Failure(StreamFailure{ StreamFailureKind::Mismatched, 0,
                                  "got offset " + std::to_string(token->offset) + " of " +
                                    token->id + ", expected " + std::to_string(mExpected) });
  }
  ++mExpected;
  return token;
}

net::Task<void> EngineStream::Finish()
{
  if (!mIsDone || !mLease) {
    co_return;
  }
  while (true) {
    const Result<std::string, net::NetError> part =
      co_await (*mLease)->ReadBodySome(kFinishTimeout);
    if (!part || part->empty()) {
      co_return;
    }
  }
}

void EngineStream::Drop()
{
  if (mLease) {
    (*mLease)->Close();
  }
}

} // namespace masticstep::gateway
