#include "ServerConnection.hpp"

#include "CallerProbe.hpp"
#include "StreamResponder.hpp"
#include "masticstep/net/Clock.hpp"

#include <boost/asio/this_coro.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <exception>
#include <span>
#include <utility>

namespace masticstep::net {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t kReadSize = 4096;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
// Closing a socket with unread bytes resets the connection, which destroys an answer that the
// caller has not read yet. These bound how long and how much of such input is read.
constexpr Duration kDropTime = Seconds(1);
constexpr std::size_t kDropBytes = 1048576;

// Without a byte for so long, a request that is not whole gives way to other connections. Less than
// their callers wait.
constexpr Duration kStallTime = Seconds(1);

// A request is kept twice while it is handled: as it was read, and as it is sent on.
constexpr std::size_t kCopiesOfWhole = 2;
// Bytes received for each byte that a body may have. Chunks of one byte take six.
constexpr std::size_t kMaximumFraming = 16;

using Parser = http::request_parser<http::string_body>;

IntakeId NextIntakeId()
{
  static std::atomic<IntakeId> last{ 0 };
  return ++last;
}

HttpRequest RequestOf(http::request<http::string_body> aMessage, const std::string& aSource)
{
  HttpRequest request;
  request.method = std::string(aMessage.method_string());
  request.target = std::string(aMessage.target());
  for (const http::fields::value_type& field : aMessage) {
    request.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
  }
  request.body = std::move(aMessage.body());
  request.source = aSource;
  return request;
}

unsigned StatusOf(const boost::system::error_code& aError)
{
  if (aError == http::error::header_limit) {
    return 431;
  }
  return aError == http::error::body_limit ? 413 : 400;
}

NetErrorKind KindOf(unsigned aStatus)
{
  if (aStatus == 431) {
    return NetErrorKind::HeaderTooLarge;
  }
  return aStatus == 413 ? NetErrorKind::BodyTooLarge : NetErrorKind::Malformed;
}

// Returns whether others might see another end of the message than this parser does. A transfer
// encoding other than "chunked" leaves the length unknown, and the rest of the body would be taken
// for a request.
bool HasAmbiguousLength(const http::request<http::string_body>& aMessage)
{
  const std::size_t encodings = aMessage.count(http::field::transfer_encoding);
  if (encodings == 0) {
    return aMessage.count(http::field::content_length) > 1;
  }
  return encodings > 1 || aMessage.version() < 11 ||
         aMessage.count(http::field::content_length) > 0 ||
         !boost::beast::iequals(aMessage[http::field::transfer_encoding], "chunked");
}

// Feeds the waiting bytes to the parser.
boost::system::error_code ParseWaiting(Parser& aParser, boost::beast::flat_buffer& aBuffer)
{
  while (aBuffer.size() > 0 && !aParser.is_done()) {
    boost::system::error_code ec;
    const std::size_t n = aParser.put(aBuffer.data(), ec);
    aBuffer.consume(n);
    if (ec == http::error::need_more) {
      return {};
    }
    if (ec || n == 0) {
      return ec;
    }
  }
  return {};
}

// Returns false if none is left.
bool TryTake(std::atomic<std::size_t>& aQuota)
{
  std::size_t left = aQuota;
  while (left > 0) {
    if (aQuota.compare_exchange_weak(left, left - 1)) {
      return true;
    }
  }
  return false;
}

EndCause CauseOf(NetErrorKind aKind)
{
  switch (aKind) {
    case NetErrorKind::Closed:
      return EndCause::EndOfInput;
    case NetErrorKind::TimedOut:
      return EndCause::TimedOut;
    case NetErrorKind::Cancelled:
      return EndCause::Stopped;
    default:
      return EndCause::Reset;
  }
}

// Says in words why a request is refused that was not read whole.
NetError ErrorOf(EndCause aCause, const NetError& aError)
{
  if (aCause == EndCause::EndOfInput) {
    return { NetErrorKind::Malformed, "request ended early" };
  }
  if (aCause == EndCause::TimedOut) {
    return { NetErrorKind::TimedOut, "request was not sent in time" };
  }
  return aError;
}

} // namespace

ServerConnection::ServerConnection(std::unique_ptr<ByteStream> aStream, std::string aSource,
                                   std::shared_ptr<HttpHandler> aHandler,
                                   std::shared_ptr<ServerSwitches> aSwitches)
  : mId(NextIntakeId())
  , mStream(std::move(aStream))
  , mSource(std::move(aSource))
  , mLimits(*aSwitches->limits.load())
  , mHandler(std::move(aHandler))
  , mSwitches(std::move(aSwitches))
  , mReceivedAt(Now())
{
}

Task<void> ServerConnection::Run()
{
  bool goesOn = true;
  while (goesOn && MayReadNext()) {
    Result<Incoming, Refused> incoming = co_await ReadRequest();
    if (!incoming) {
      const Refused& refused = incoming.error();
      if (refused.decision.action == EndAction::Refuse) {
        co_await RefuseAndClose(refused.decision.status, refused.error);
      }
      break;
    }
    goesOn = co_await Answer(std::move(*incoming));
    mHasAnswered = true;
    mSwitches->intake.Release(mId);
  }
  mSwitches->intake.Release(mId);
  co_await Close();
}

bool ServerConnection::MayReadNext()
{
  if (!mSwitches->isStopped || mBuffer.size() > 0) {
    return true;
  }
  return Decide(EndCause::Stopped, mStream->HasInput()).action == EndAction::Continue;
}

EndDecision ServerConnection::Decide(EndCause aCause, bool aHasInput)
{
  const EndDecision decision = DecideEnd(mStage, aCause, aHasInput);
  const bool isEnd = decision.action == EndAction::Refuse || decision.action == EndAction::Close;
  if (isEnd && mStage != RequestStage::None) {
    mHandler->OnConnectionEnd({ mStage, aCause, decision.status });
  }
  return decision;
}

ServerConnection::Refused ServerConnection::Reject(unsigned aStatus, NetError aError)
{
  mHandler->OnConnectionEnd({ mStage, EndCause::Invalid, aStatus });
  return { { EndAction::Refuse, aStatus }, std::move(aError) };
}

ServerConnection::Refused ServerConnection::RejectForOthers()
{
  return Reject(408, { NetErrorKind::NoMemory, "other requests need the " + *mNeedOfOthers });
}

Task<Result<void, ServerConnection::Refused>> ServerConnection::ReadInput(Time aEnd)
{
  const boost::asio::mutable_buffer space = mBuffer.prepare(kReadSize);
  const std::span<char> target(static_cast<char*>(space.data()), space.size());
  while (true) {
    if (mNeedOfOthers) {
      co_return Failure(RejectForOthers());
    }
    if (mIsStopOverdue) {
      NetError error{ NetErrorKind::Cancelled, "the server stops" };
      co_return Failure(Refused{ Decide(EndCause::Stopped, false), std::move(error) });
    }
    const Result<std::size_t, NetError> n =
      co_await mStream->TryReadSome(target, std::max(aEnd - Now(), Milliseconds(1)));
    if (n) {
      mBuffer.commit(*n);
      mReceivedBytes += *n;
      mReceivedAt = Now();
      co_return Result<void, Refused>{};
    }
    if (mNeedOfOthers) {
      continue;
    }
    const EndCause cause = CauseOf(n.error().kind);
    const EndDecision decision = Decide(cause, mStream->HasInput());
    if (decision.action != EndAction::Continue) {
      co_return Failure(Refused{ decision, ErrorOf(cause, n.error()) });
    }
  }
}

Task<Result<void, ServerConnection::Refused>> ServerConnection::ReadFirstInput()
{
  const Time begin = Now();
  while (true) {
    const Time end = begin + mSwitches->limits.load()->idleTimeout;
    Result<void, Refused> read = co_await ReadInput(end);
    // A caller may use the connection for as long as the newest limit says.
    const bool isExtended = Now() < begin + mSwitches->limits.load()->idleTimeout;
    if (read || read.error().error.kind != NetErrorKind::TimedOut || !isExtended) {
      co_return read;
    }
  }
}

Task<Result<ServerConnection::Incoming, ServerConnection::Refused>> ServerConnection::ReadRequest()
{
  mStage = RequestStage::None;
  if (mBuffer.size() == 0) {
    const Result<void, Refused> begun = co_await ReadFirstInput();
    if (!begun) {
      co_return Failure(begun.error());
    }
  }
  mStage = RequestStage::Head;
  mReceivedBytes = mBuffer.size();
  mReceivedAt = Now();
  // The limits may have changed while the connection was idle.
  mLimits = *mSwitches->limits.load();
  Parser parser;
  parser.eager(true);
  parser.header_limit(static_cast<std::uint32_t>(mLimits.headerBytes));
  parser.body_limit(mLimits.bodyBytes);
  bool hasContinued = false;
  Time end = Now() + mLimits.headerTimeout;
  while (true) {
    const boost::system::error_code ec = ParseWaiting(parser, mBuffer);
    if (ec) {
      const unsigned status = StatusOf(ec);
      co_return Failure(Reject(status, { KindOf(status), ec.message() }));
    }
    if (parser.is_header_done() && HasAmbiguousLength(parser.get())) {
      co_return Failure(
        Reject(400, { NetErrorKind::Malformed, "transfer encoding is not supported" }));
    }
    if (parser.is_done()) {
      break;
    }
    std::optional<Refused> refused = Account(parser.get().body().size());
    if (refused) {
      co_return Failure(std::move(*refused));
    }
    if (parser.is_header_done() && mStage == RequestStage::Head) {
      mStage = RequestStage::Body;
      end = Now() + mLimits.idleTimeout;
    }
    if (parser.is_header_done() && !hasContinued &&
        boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
      hasContinued = true;
      co_await mStream->WriteAll(kContinue, mLimits.slowReaderTimeout);
    }
    const Result<void, Refused> read = co_await ReadInput(end);
    if (!read) {
      co_return Failure(read.error());
    }
  }
  mStage = RequestStage::Whole;
  Incoming incoming;
  incoming.keepsAlive = parser.keep_alive();
  incoming.isVersion10 = parser.get().version() < 11;
  const std::size_t whole = parser.get().body().size() * kCopiesOfWhole + mBuffer.size();
  if (!mSwitches->intake.TryResize(mId, whole, Now())) {
    co_return Failure(Reject(503, { NetErrorKind::NoMemory, {} }));
  }
  mSwitches->intake.SetWhole(mId);
  incoming.request = RequestOf(parser.release(), mSource);
  mBuffer.shrink_to_fit();
  co_return incoming;
}

std::optional<ServerConnection::Refused> ServerConnection::Account(std::size_t aBodyBytes)
{
  // The parser takes all of a body and leaves what is no body and has no end yet: the line of a
  // chunk with its extension, or the trailers.
  if (mStage == RequestStage::Body && mBuffer.size() > mLimits.headerBytes) {
    return Reject(431, { NetErrorKind::HeaderTooLarge, "chunk extension or trailers" });
  }
  if (mReceivedBytes > kMaximumFraming * mLimits.bodyBytes + mLimits.headerBytes) {
    return Reject(413, { NetErrorKind::BodyTooLarge, "too much framing" });
  }
  if (!mSwitches->intake.TryResize(mId, mBuffer.capacity() + aBodyBytes, Now())) {
    return Reject(503, { NetErrorKind::NoMemory, {} });
  }
  return std::nullopt;
}

Task<bool> ServerConnection::Answer(Incoming aIncoming)
{
  const bool keepsAlive = aIncoming.keepsAlive;
  StreamResponder::Options options;
  options.slowReaderTimeout = mLimits.slowReaderTimeout;
  options.isVersion10 = aIncoming.isVersion10;
  options.isHeadRequest = aIncoming.request.method == "HEAD";
  options.closes = [this, keepsAlive] { return !keepsAlive || mSwitches->closesAfterAnswers; };
  StreamResponder responder(*mStream, std::move(options));
  const Executor executor = co_await boost::asio::this_coro::executor;
  std::shared_ptr<CallerProbe> probe;
  mStream->WatchForEnd([&](PeerEnd aEnd) {
    const EndCause cause = aEnd == PeerEnd::EndOfInput ? EndCause::EndOfInput : EndCause::Reset;
    if (DecideEnd(mStage, cause, false).action != EndAction::Probe) {
      responder.SetGone();
      return;
    }
    if (mBuffer.size() == 0) {
      responder.RequireClose();
    }
    probe = std::make_shared<CallerProbe>(executor, [&responder] {
      responder.Probe();
      return !responder.IsGone();
    });
    probe->Start();
  });
  std::exception_ptr failure;
  try {
    co_await mHandler->Handle(std::move(aIncoming.request), responder);
  } catch (...) {
    failure = std::current_exception();
  }
  mStream->StopWatch();
  if (probe) {
    probe->Stop();
  }
  if (responder.HasWritten()) {
    mStage = RequestStage::Answering;
  }
  if (responder.IsGone()) {
    if (!responder.HasEnded()) {
      Decide(EndCause::Reset, false);
    }
    co_return false;
  }
  if (failure || !responder.HasEnded()) {
    const EndDecision decision = Decide(EndCause::HandlerFailed, false);
    if (decision.action == EndAction::Refuse) {
      NetError error{ NetErrorKind::Cancelled, "handler gave no answer" };
      co_await SendRefusal(responder, decision.status, std::move(error));
    } else if (!responder.HasEnded() && responder.EndsWithConnection()) {
      mStream->Abort(); // a plain close would make the answer look complete
    }
    co_return false;
  }
  mStage = RequestStage::None;
  co_return responder.MayContinue();
}

Task<void> ServerConnection::SendRefusal(StreamResponder& aResponder, unsigned aStatus,
                                         NetError aError)
{
  mIsRefused = true;
  aResponder.RequireClose();
  co_await aResponder.Send(mHandler->Refuse(aStatus, aError));
}

Task<void> ServerConnection::RefuseAndClose(unsigned aStatus, NetError aError)
{
  StreamResponder::Options options;
  options.slowReaderTimeout = mLimits.slowReaderTimeout;
  options.closes = [] { return true; };
  StreamResponder responder(*mStream, std::move(options));
  co_await SendRefusal(responder, aStatus, std::move(aError));
  co_await Close();
}

Task<void> ServerConnection::Close()
{
  if (!mStream->IsOpen()) {
    co_return;
  }
  std::size_t dropped = mBuffer.size();
  if (mIsRefused || mStream->HasInput()) {
    mStream->EndWriting();
    dropped += co_await DropInput();
  }
  if (mStage == RequestStage::None && !mIsRefused && dropped > 0) {
    mHandler->OnConnectionEnd({ RequestStage::Head, EndCause::AnswerCloses, 0 });
  }
  mStream->Close();
}

Task<std::size_t> ServerConnection::DropInput()
{
  const Time end = Now() + kDropTime;
  std::array<char, kReadSize> buf{};
  std::size_t dropped = 0;
  while (dropped < kDropBytes && Now() < end) {
    const Result<std::size_t, NetError> n = co_await mStream->TryReadSome(buf, end - Now());
    if (!n) {
      break;
    }
    dropped += *n;
  }
  co_return dropped;
}

void ServerConnection::RefuseIfUnfinished()
{
  if (mStage == RequestStage::Head || mStage == RequestStage::Body) {
    mIsStopOverdue = true;
    mStream->CancelRead();
  }
}

void ServerConnection::EndForMemory()
{
  EndForOthers("memory");
}

void ServerConnection::GiveWay(std::atomic<std::size_t>& aQuota)
{
  const bool isIdle = mStage == RequestStage::None && mHasAnswered;
  if (isIdle) {
    CloseIfIdle();
    return;
  }
  const bool mayHaveStalled =
    mStage == RequestStage::None || mStage == RequestStage::Head || mStage == RequestStage::Body;
  // This process may have been suspended while bytes arrived.
  if (!mayHaveStalled || Now() < mReceivedAt + kStallTime || mStream->HasInput()) {
    return;
  }
  if (TryTake(aQuota)) {
    EndForOthers("connection");
    CloseIfIdle();
  }
}

void ServerConnection::EndForOthers(std::string_view aNeed)
{
  if (mStage == RequestStage::Head || mStage == RequestStage::Body) {
    mNeedOfOthers = std::string(aNeed);
    mStream->CancelRead();
  }
}

void ServerConnection::CloseIfIdle()
{
  // Input may have been taken from the socket already; then the request is answered.
  if (mStage == RequestStage::None && mStream->IsOpen() && !mStream->HasInput()) {
    mStream->CancelRead();
  }
}

} // namespace masticstep::net
