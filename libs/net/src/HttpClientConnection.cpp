#include "masticstep/net/HttpClientConnection.hpp"

#include "HttpText.hpp"
#include "masticstep/net/Clock.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <optional>
#include <span>
#include <utility>

namespace masticstep::net {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t kReadSize = 8192;
constexpr std::uint32_t kMaximumHead = 65536;
// Bytes that the parser cannot consume yet, such as a chunk header or trailer whose line has no
// end.
constexpr std::size_t kMaximumUnparsed = 2 * kMaximumHead;

// Other numbers have no meaning in HTTP, so nothing can be told of such an answer.
constexpr unsigned kLowestStatus = 100;
constexpr unsigned kHighestStatus = 599;

// An answer that has arrived before the deadline is read even if this process was suspended in
// between; a server that never stops sending must not keep the exchange alive.
constexpr std::uint32_t kMaximumLateReads = 8;
constexpr Duration kLateReadTimeout = Milliseconds(1);
constexpr Duration kLongestWait = Seconds(86400);

// A server that does not read has at least this much room in the buffers of its kernel.
constexpr std::size_t kAlwaysTaken = 32768;

// The server may close a little before the time that it states.
constexpr Duration kIdleMargin = Milliseconds(500);
constexpr std::int64_t kLongestIdleSeconds = 86400;

// Returns the idle time that a Keep-Alive header states, such as "timeout=5, max=100".
Duration IdleTimeOf(std::string_view aKeepAlive)
{
  constexpr std::string_view kName = "timeout=";
  const std::size_t begin = aKeepAlive.find(kName);
  if (begin == std::string_view::npos) {
    return Duration::max();
  }
  const char* const digits = aKeepAlive.data() + begin + kName.size();
  std::int64_t seconds = 0;
  const std::from_chars_result result =
    std::from_chars(digits, aKeepAlive.data() + aKeepAlive.size(), seconds);
  const bool isUsable = result.ec == std::errc() && seconds >= 0 && seconds < kLongestIdleSeconds;
  return isUsable ? Seconds(seconds) - kIdleMargin : Duration::max();
}

ConnectionId NextConnectionId()
{
  static std::atomic<std::uint64_t> last{ 0 };
  return ConnectionId{ ++last };
}

std::size_t SizeOf(const HttpHeaders& aHeaders)
{
  std::size_t size = aHeaders.capacity() * sizeof(HttpHeader);
  for (const HttpHeader& header : aHeaders) {
    size += header.name.capacity() + header.value.capacity();
  }
  return size;
}

HttpHeaders HeadersOf(const http::fields& aFields)
{
  HttpHeaders headers;
  for (const http::fields::value_type& field : aFields) {
    headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
  }
  return headers;
}

} // namespace

struct HttpClientConnection::State
{
  using Parser = http::response_parser<http::string_body>;

  explicit State(std::shared_ptr<ByteBudget> aBudget)
    : charge(std::move(aBudget))
  {
  }

  // Reads and parses until aIsEnough holds or the message ends.
  template <class Predicate>
  Task<Result<void, NetError>> ReadUntil(Predicate aIsEnough);
  // Reads what has arrived into the buffer, until the deadline of the exchange. A failure is kept
  // for the reads that follow.
  Task<Result<void, NetError>> Fill(Duration aTimeout = kLongestWait);
  void SetDeadline(Time aDeadline);
  Duration TimeLeft() const { return std::min(deadline - Now(), kLongestWait); }
  Result<void, NetError> Parse(bool aAtEnd);
  // Returns whether the server has closed the connection to end a body without a length.
  bool EndsBody() const
  {
    return readFailure && readFailure->kind == NetErrorKind::Closed && parser->need_eof();
  }
  // Starts to parse a new answer.
  void ExpectAnswer();
  // Accounts what is kept now. Closes the connection and drops what it keeps if the budget does not
  // allow it.
  Result<void, NetError> Charge();

  const ConnectionId id = NextConnectionId();
  std::unique_ptr<ByteStream> stream;
  HostPort address;
  std::string host;
  boost::beast::flat_buffer buffer;
  std::optional<Parser> parser;
  ByteCharge charge;
  std::size_t headBytes = 0; // of the head that the reader keeps
  std::size_t heldBytes = 0; // of the body that the reader keeps
  std::optional<NetError> readFailure;
  Time deadline = Time::max(); // of the exchange
  std::uint32_t lateReads = 0; // after the deadline
  bool isAwaitCancelled = false;
  bool isExchanging = false;
  bool isHeadRequest = false;
  bool isReusePrevented = false;
  Duration maximumIdle = Duration::max();
};

HttpClientConnection::HttpClientConnection(std::unique_ptr<ByteStream> aStream, HostPort aAddress,
                                           std::shared_ptr<ByteBudget> aBudget)
  : mState(std::make_unique<State>(std::move(aBudget)))
{
  mState->stream = std::move(aStream);
  mState->host = ToString(aAddress);
  mState->address = std::move(aAddress);
}

HttpClientConnection::~HttpClientConnection() = default;
HttpClientConnection::HttpClientConnection(HttpClientConnection&&) noexcept = default;
HttpClientConnection& HttpClientConnection::operator=(HttpClientConnection&&) noexcept = default;

Result<void, NetError> HttpClientConnection::State::Parse(bool aAtEnd)
{
  boost::system::error_code ec;
  while (buffer.size() > 0 && !parser->is_done()) {
    const std::size_t n = parser->put(buffer.data(), ec);
    buffer.consume(n);
    if (ec == http::error::need_more) {
      ec = {};
      break;
    }
    if (ec || n == 0) {
      break;
    }
  }
  if (!ec && aAtEnd && !parser->is_done()) {
    parser->put_eof(ec);
    if (ec) {
      stream->Close();
      return Failure(NetError{ NetErrorKind::Closed, "answer is not complete" });
    }
  }
  if (ec) {
    stream->Close();
    return Failure(NetError{ NetErrorKind::Malformed, ec.message() });
  }
  return {};
}

void HttpClientConnection::State::ExpectAnswer()
{
  headBytes = 0;
  parser.emplace();
  parser->eager(true);
  parser->header_limit(kMaximumHead);
  parser->body_limit(boost::none);
  parser->skip(isHeadRequest);
}

Result<void, NetError> HttpClientConnection::State::Charge()
{
  if (buffer.size() == 0 && buffer.capacity() > kReadSize) {
    buffer = {};
  }
  const std::size_t bodyBytes = parser ? parser->get().body().capacity() : 0;
  if (charge.TryResize(buffer.capacity() + bodyBytes + headBytes + heldBytes)) {
    return {};
  }
  stream->Close();
  buffer = {};
  if (parser) {
    parser->get().body() = {};
  }
  readFailure = NetError{ NetErrorKind::BodyTooLarge, "answers use up their memory" };
  return Failure(*readFailure);
}

template <class Predicate>
Task<Result<void, NetError>> HttpClientConnection::State::ReadUntil(Predicate aIsEnough)
{
  if (!parser) {
    stream->Close();
    co_return Failure(NetError{ NetErrorKind::Malformed, "answer without a request" });
  }
  while (true) {
    Result<void, NetError> parsed = Parse(false);
    if (!parsed) {
      co_return parsed;
    }
    Result<void, NetError> charged = Charge();
    if (!charged || aIsEnough() || parser->is_done()) {
      co_return charged;
    }
    if (buffer.size() > kMaximumUnparsed) {
      stream->Close();
      co_return Failure(NetError{ NetErrorKind::Malformed, "line without end" });
    }
    const Result<void, NetError> filled = co_await Fill();
    if (!filled) {
      if (filled.error().kind == NetErrorKind::Closed && parser->is_header_done()) {
        co_return Parse(true);
      }
      co_return Failure(filled.error());
    }
  }
}

Task<Result<void, NetError>> HttpClientConnection::State::Fill(Duration aTimeout)
{
  if (readFailure) {
    co_return Failure(*readFailure);
  }
  Duration timeout = std::min(aTimeout, TimeLeft());
  if (timeout <= Duration::zero()) {
    timeout = kLateReadTimeout;
    if (++lateReads > kMaximumLateReads) {
      stream->Close();
      readFailure = NetError{ NetErrorKind::TimedOut, {} };
      co_return Failure(*readFailure);
    }
  }
  const boost::asio::mutable_buffer space = buffer.prepare(kReadSize);
  const std::span<char> target(static_cast<char*>(space.data()), space.size());
  const Result<std::size_t, NetError> n = co_await stream->ReadSome(target, timeout);
  if (!n) {
    readFailure = n.error();
    co_return Failure(n.error());
  }
  buffer.commit(*n);
  co_return Result<void, NetError>{};
}

void HttpClientConnection::State::SetDeadline(Time aDeadline)
{
  deadline = aDeadline;
  lateReads = 0;
}

void HttpClientConnection::SetDeadline(Time aDeadline)
{
  mState->SetDeadline(aDeadline);
}

Task<Result<void, NetError>> HttpClientConnection::Send(const HttpRequest& aRequest, Time aDeadline)
{
  mState->SetDeadline(aDeadline);
  mState->isExchanging = true;
  mState->heldBytes = 0;
  mState->isHeadRequest = aRequest.method == "HEAD";
  mState->ExpectAnswer();
  const std::string text = RequestText(aRequest, mState->host);
  const Duration timeout = std::max(mState->TimeLeft(), kLateReadTimeout);
  // The kernel must not end a longer request whose server reads it late.
  mState->stream->SetUnacknowledgedLimit(
    text.size() > kAlwaysTaken ? std::max(timeout, kUnacknowledgedLimit) : kUnacknowledgedLimit);
  co_return co_await mState->stream->WriteAll(text, timeout);
}

Task<Result<HttpResponseHead, NetError>> HttpClientConnection::ReadHead()
{
  State& state = *mState;
  const Result<void, NetError> done =
    co_await state.ReadUntil([&state] { return state.parser->is_header_done(); });
  if (!done) {
    co_return Failure(done.error());
  }
  http::response<http::string_body>& message = state.parser->get();
  const unsigned status = message.result_int();
  if (status < kLowestStatus || status > kHighestStatus) {
    state.stream->Close();
    co_return Failure(
      NetError{ NetErrorKind::Malformed, "status " + std::to_string(status) + " is no status" });
  }
  const boost::beast::string_view keepAlive = message[http::field::keep_alive];
  state.maximumIdle = IdleTimeOf({ keepAlive.data(), keepAlive.size() });
  HttpResponseHead head{ status, HeadersOf(message) };
  // The parser does not use the fields again; without this, a head would be kept twice.
  message.base().clear();
  state.headBytes = SizeOf(head.headers);
  const Result<void, NetError> charged = state.Charge();
  if (!charged) {
    co_return Failure(charged.error());
  }
  co_return head;
}

Task<Result<std::string, NetError>> HttpClientConnection::ReadBodySome()
{
  State& state = *mState;
  const Result<void, NetError> done =
    co_await state.ReadUntil([&state] { return !state.parser->get().body().empty(); });
  if (!done) {
    co_return Failure(done.error());
  }
  std::string text = std::exchange(state.parser->get().body(), std::string{});
  if (text.empty() && state.parser->is_done()) {
    state.isExchanging = false;
  }
  co_return text;
}

Task<BodyState> HttpClientConnection::AwaitBody(Duration aTimeout)
{
  State& state = *mState;
  state.isAwaitCancelled = false;
  if (!state.parser) {
    co_return BodyState::Broken;
  }
  const Time end = Now() + aTimeout;
  while (true) {
    Result<void, NetError> parsed = state.Parse(false);
    if (parsed) {
      parsed = state.Charge();
    }
    if (!parsed && parsed.error().kind == NetErrorKind::BodyTooLarge) {
      co_return BodyState::Broken;
    }
    if (state.parser->is_done() || !state.parser->get().body().empty()) {
      co_return BodyState::Ready;
    }
    if (!parsed || state.readFailure || state.buffer.size() > kMaximumUnparsed) {
      co_return state.EndsBody() ? BodyState::Ready : BodyState::Broken;
    }
    const Duration left = end - Now();
    if (left <= Duration::zero() || state.isAwaitCancelled) {
      co_return BodyState::Waiting;
    }
    const bool hasInput = co_await state.stream->AwaitInput(left);
    if (!hasInput) {
      co_return BodyState::Waiting;
    }
    co_await state.Fill(left);
  }
}

void HttpClientConnection::CancelAwait()
{
  mState->isAwaitCancelled = true;
  mState->stream->CancelAwait();
}

Task<Result<void, NetError>> HttpClientConnection::SkipAnswer()
{
  State& state = *mState;
  state.isReusePrevented = true;
  while (!state.parser || !state.parser->is_done()) {
    const Result<std::string, NetError> part = co_await ReadBodySome();
    if (!part) {
      co_return Failure(part.error());
    }
  }
  state.isExchanging = true;
  state.ExpectAnswer();
  co_return Result<void, NetError>{};
}

Result<void, NetError> HttpClientConnection::Hold(std::size_t aBytes)
{
  const std::size_t before = std::exchange(mState->heldBytes, aBytes);
  Result<void, NetError> charged = mState->Charge();
  if (!charged) {
    mState->heldBytes = before;
  }
  return charged;
}

Task<Result<void, NetError>> HttpClientConnection::AwaitUnrequested(Duration aTimeout)
{
  mState->isReusePrevented = true;
  co_return co_await mState->Fill(aTimeout);
}

BodyFraming HttpClientConnection::Framing() const
{
  if (!mState->parser || mState->parser->need_eof()) {
    return BodyFraming::UntilClose;
  }
  return mState->parser->chunked() ? BodyFraming::Chunked : BodyFraming::Length;
}

void HttpClientConnection::PreventReuse()
{
  mState->isReusePrevented = true;
}

bool HttpClientConnection::IsReusable()
{
  if (!mState || !mState->stream->IsOpen() || mState->isExchanging || mState->isReusePrevented ||
      !mState->parser) {
    return false;
  }
  return mState->parser->is_done() && mState->parser->keep_alive() && mState->buffer.size() == 0 &&
         !mState->stream->HasInput();
}

Duration HttpClientConnection::MaximumIdle() const
{
  return mState->maximumIdle;
}

void HttpClientConnection::Close()
{
  mState->stream->Close();
}

void HttpClientConnection::Attach(Executor aExecutor)
{
  mState->stream->Attach(std::move(aExecutor));
}

void HttpClientConnection::Detach()
{
  // An idle connection keeps nothing of its last answer.
  mState->SetDeadline(Time::max());
  mState->headBytes = 0;
  mState->heldBytes = 0;
  if (mState->parser) {
    mState->parser->get().base().clear();
  }
  mState->Charge();
  mState->stream->Detach();
}

const HostPort& HttpClientConnection::Address() const
{
  return mState->address;
}

ConnectionId HttpClientConnection::Id() const
{
  return mState->id;
}

} // namespace masticstep::net
