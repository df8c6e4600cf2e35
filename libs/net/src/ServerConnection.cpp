#include "ServerConnection.hpp"

#include "StreamResponder.hpp"
#include "masticstep/net/Clock.hpp"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <exception>
#include <span>
#include <utility>

namespace masticstep::net {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t kReadSize = 4096;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

using Parser = http::request_parser<http::string_body>;

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

} // namespace

ServerConnection::ServerConnection(std::unique_ptr<ByteStream> aStream, std::string aSource,
                                   std::shared_ptr<HttpHandler> aHandler,
                                   std::shared_ptr<ServerSwitches> aSwitches)
  : mStream(std::move(aStream))
  , mSource(std::move(aSource))
  , mLimits(*aSwitches->limits.load())
  , mHandler(std::move(aHandler))
  , mSwitches(std::move(aSwitches))
{
}

Task<void> ServerConnection::Run()
{
  bool goesOn = true;
  while (goesOn && !mSwitches->isStopped) {
    Result<Incoming, Refused> incoming = co_await ReadRequest();
    if (!incoming) {
      if (incoming.error().status != 0) {
        co_await RefuseAndClose(incoming.error().status, incoming.error().error);
      }
      break;
    }
    goesOn = co_await Answer(std::move(*incoming));
  }
  mStream->Close();
}

Task<Result<void, NetError>> ServerConnection::ReadInput(Duration aTimeout)
{
  const Time end = Now() + aTimeout;
  if (!mIsIdle) {
    // Unlike ReadSome, this can be cancelled without closing the stream.
    co_await mStream->AwaitInput(std::max(aTimeout, Milliseconds(1)));
  }
  if (mIsRefused) {
    co_return Failure(NetError{ NetErrorKind::Cancelled, "the server stops" });
  }
  const boost::asio::mutable_buffer space = mBuffer.prepare(kReadSize);
  const std::span<char> target(static_cast<char*>(space.data()), space.size());
  const Result<std::size_t, NetError> n =
    co_await mStream->ReadSome(target, std::max(end - Now(), Milliseconds(1)));
  if (!n) {
    co_return Failure(n.error());
  }
  mBuffer.commit(*n);
  co_return Result<void, NetError>{};
}

Task<Result<ServerConnection::Incoming, ServerConnection::Refused>> ServerConnection::ReadRequest()
{
  mIsIdle = mBuffer.size() == 0;
  if (mIsIdle) {
    const Result<void, NetError> begun = co_await ReadInput(mSwitches->limits.load()->idleTimeout);
    if (!begun) {
      co_return Failure(Refused{ 0, begun.error() });
    }
    mIsIdle = false;
  }
  // The limits may have changed while the connection was idle.
  mLimits = *mSwitches->limits.load();
  Parser parser;
  parser.eager(true);
  parser.header_limit(static_cast<std::uint32_t>(mLimits.headerBytes));
  parser.body_limit(mLimits.bodyBytes);
  bool hasContinued = false;
  bool isInBody = false;
  Time end = Now() + mLimits.headerTimeout;
  while (true) {
    const boost::system::error_code ec = ParseWaiting(parser, mBuffer);
    if (ec) {
      const unsigned status = StatusOf(ec);
      co_return Failure(Refused{ status, { KindOf(status), ec.message() } });
    }
    if (parser.is_header_done() && HasAmbiguousLength(parser.get())) {
      co_return Failure(
        Refused{ 400, { NetErrorKind::Malformed, "transfer encoding is not supported" } });
    }
    if (parser.is_done()) {
      break;
    }
    if (parser.is_header_done() && !isInBody) {
      isInBody = true;
      end = Now() + mLimits.idleTimeout;
    }
    if (parser.is_header_done() && !hasContinued &&
        boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
      hasContinued = true;
      co_await mStream->WriteAll(kContinue, mLimits.slowReaderTimeout);
    }
    const Result<void, NetError> read = co_await ReadInput(end - Now());
    if (!read) {
      co_return Failure(Refused{ mIsRefused ? 503U : 0U, read.error() });
    }
  }
  Incoming incoming;
  incoming.keepsAlive = parser.keep_alive();
  incoming.isVersion10 = parser.get().version() < 11;
  incoming.request = RequestOf(parser.release(), mSource);
  mBuffer.shrink_to_fit();
  co_return incoming;
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
  mStream->WatchForClose([&responder] { responder.SetGone(); });
  std::exception_ptr failure;
  try {
    co_await mHandler->Handle(std::move(aIncoming.request), responder);
  } catch (...) {
    failure = std::current_exception();
  }
  mStream->StopWatch();
  if ((failure || !responder.HasStarted()) && !responder.IsGone() && !responder.HasStarted()) {
    NetError error{ NetErrorKind::Cancelled, "handler gave no answer" };
    co_await RefuseAndClose(500, std::move(error));
    co_return false;
  }
  co_return responder.MayContinue() && !failure;
}

Task<void> ServerConnection::RefuseAndClose(unsigned aStatus, NetError aError)
{
  StreamResponder::Options options;
  options.slowReaderTimeout = mLimits.slowReaderTimeout;
  options.closes = [] { return true; };
  StreamResponder responder(*mStream, std::move(options));
  co_await responder.Send(mHandler->Refuse(aStatus, aError));
  mStream->Close();
}

void ServerConnection::RefuseIfUnfinished()
{
  if (!mIsIdle) {
    mIsRefused = true;
    mStream->CancelAwait();
  }
}

void ServerConnection::CloseIfIdle()
{
  // Input may have been taken from the socket already; then the request is answered.
  if (mIsIdle && mStream->IsOpen() && !mStream->HasInput()) {
    mStream->CancelRead();
  }
}

} // namespace masticstep::net
