#include "SocketStream.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/ssl/error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <type_traits>
#include <utility>

namespace masticstep::net {

namespace asio = boost::asio;

namespace {

constexpr asio::as_tuple_t<asio::use_awaitable_t<>> kAsResult{};
constexpr Duration kMaximumLimit = Seconds(86400);

// Looks at waiting input without taking it. Returns the error code and whether a byte is there.
std::pair<boost::system::error_code, bool> Peek(Socket& aSocket)
{
  std::array<char, 1> buf{};
  boost::system::error_code ec;
  aSocket.non_blocking(true, ec);
  const std::size_t n = aSocket.receive(asio::buffer(buf), asio::socket_base::message_peek, ec);
  return { ec, n > 0 };
}

} // namespace

template <class Next>
struct SocketStream<Next>::Watch
{
  asio::cancellation_signal signal;
  std::function<void(PeerEnd)> callback;
  bool isWaiting = false;
};

template <class Next>
SocketStream<Next>::SocketStream(Next aNext, const Executor& aExecutor,
                                 std::shared_ptr<TlsContext> aContext)
  : mContext(std::move(aContext))
  , mNext(std::move(aNext))
{
  Attach(aExecutor);
}

template <class Next>
SocketStream<Next>::~SocketStream()
{
  StopWatch();
  Detach();
}

template <class Next>
Socket& SocketStream<Next>::Lowest()
{
  if constexpr (std::is_same_v<Next, TlsSocket>) {
    return mNext.next_layer();
  } else {
    return mNext;
  }
}

template <class Next>
const Socket& SocketStream<Next>::Lowest() const
{
  if constexpr (std::is_same_v<Next, TlsSocket>) {
    return mNext.next_layer();
  } else {
    return mNext;
  }
}

template <class Next>
void SocketStream<Next>::Attach(Executor aExecutor)
{
  Detach();
  mExecutor = std::move(aExecutor);
  mDeadline = std::make_shared<Deadline>(mExecutor, [this] { OnTimeout(); });
}

template <class Next>
void SocketStream<Next>::Detach()
{
  if (mDeadline) {
    mDeadline->Detach();
    mDeadline = nullptr;
  }
}

template <class Next>
NetError SocketStream<Next>::ErrorOf(boost::system::error_code aError) const
{
  if (mDeadline->HasExpired()) {
    return { NetErrorKind::TimedOut, {} };
  }
  if (aError == asio::error::operation_aborted || aError == asio::error::bad_descriptor) {
    return { NetErrorKind::Cancelled, {} };
  }
  if (aError == asio::error::eof || aError == asio::ssl::error::stream_truncated) {
    return { NetErrorKind::Closed, aError.message() };
  }
  return { NetErrorKind::Reset, aError.message() };
}

template <class Next>
Task<Result<std::size_t, NetError>> SocketStream<Next>::ReadSome(std::span<char> aBuffer,
                                                                 Duration aTimeout)
{
  mDeadline->Start(aTimeout);
  const auto [ec, n] =
    co_await mNext.async_read_some(asio::buffer(aBuffer.data(), aBuffer.size()), kAsResult);
  mDeadline->Stop();
  if (!ec && !IsOpen()) {
    // Closed after the input was taken from the socket; nothing can be answered any more.
    co_return Failure(ErrorOf(asio::error::operation_aborted));
  }
  if (ec) {
    const NetError error = ErrorOf(ec);
    Close();
    co_return Failure(error);
  }
  co_return n;
}

template <class Next>
Task<Result<std::size_t, NetError>> SocketStream<Next>::TryReadSome(std::span<char> aBuffer,
                                                                    Duration aTimeout)
{
  mIsTrying = true;
  mDeadline->Start(aTimeout);
  const auto [ec, n] =
    co_await mNext.async_read_some(asio::buffer(aBuffer.data(), aBuffer.size()), kAsResult);
  mDeadline->Stop();
  mIsTrying = false;
  if (!ec) {
    mDeadline->Forgive();
    co_return n;
  }
  const NetError error = ErrorOf(ec);
  mDeadline->Forgive();
  co_return Failure(error);
}

template <class Next>
void SocketStream<Next>::OnTimeout()
{
  if (mIsTrying) {
    CancelRead();
  } else if (mIsAwaiting) {
    mDeadline->Forgive();
    CancelAwait();
  } else {
    Close();
  }
}

template <class Next>
bool SocketStream<Next>::HasDecryptedInput()
{
  if constexpr (std::is_same_v<Next, TlsSocket>) {
    return SSL_pending(mNext.native_handle()) > 0;
  } else {
    return false;
  }
}

template <class Next>
Task<bool> SocketStream<Next>::AwaitInput(Duration aTimeout)
{
  if (!IsOpen() || HasDecryptedInput()) {
    co_return true;
  }
  mIsAwaiting = true;
  mHasEndedAwaiting = false;
  mDeadline->Start(aTimeout);
  const auto [ec] = co_await Lowest().async_wait(Socket::wait_read, kAsResult);
  mDeadline->Stop();
  mIsAwaiting = false;
  co_return !ec || !mHasEndedAwaiting;
}

template <class Next>
void SocketStream<Next>::CancelAwait()
{
  if (mIsAwaiting) {
    mHasEndedAwaiting = true;
    CancelRead();
  }
}

template <class Next>
Task<Result<void, NetError>> SocketStream<Next>::WriteAll(std::string_view aBytes,
                                                          Duration aTimeout)
{
  mDeadline->Start(aTimeout);
  const auto [ec, n] =
    co_await asio::async_write(mNext, asio::buffer(aBytes.data(), aBytes.size()), kAsResult);
  mDeadline->Stop();
  if (ec) {
    const NetError error = ErrorOf(ec);
    Close();
    co_return Failure(error);
  }
  co_return Result<void, NetError>{};
}

template <class Next>
Result<std::size_t, NetError> SocketStream<Next>::WriteNow(std::string_view aBytes)
{
  if constexpr (std::is_same_v<Next, TlsSocket>) {
    return 0;
  } else {
    boost::system::error_code ec;
    mNext.non_blocking(true, ec);
    const std::size_t n = mNext.write_some(asio::buffer(aBytes.data(), aBytes.size()), ec);
    if (ec && ec != asio::error::would_block) {
      return Failure(ErrorOf(ec));
    }
    return n;
  }
}

template <class Next>
void SocketStream<Next>::EndWriting()
{
  boost::system::error_code ec;
  Lowest().shutdown(Socket::shutdown_send, ec);
}

template <class Next>
bool SocketStream<Next>::IsBroken()
{
  // After the end of input a peek reports only that end.
  int error = 0;
  socklen_t size = sizeof(error);
  if (getsockopt(Lowest().native_handle(), SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
      error != 0) {
    return true;
  }
  const boost::system::error_code ec = Peek(Lowest()).first;
  return ec && ec != asio::error::would_block && ec != asio::error::eof;
}

template <class Next>
Task<Result<void, NetError>> SocketStream<Next>::Handshake(bool aIsServer, Duration aTimeout)
{
  if constexpr (std::is_same_v<Next, TlsSocket>) {
    mDeadline->Start(aTimeout);
    const auto [ec] = co_await mNext.async_handshake(
      aIsServer ? asio::ssl::stream_base::server : asio::ssl::stream_base::client, kAsResult);
    mDeadline->Stop();
    if (ec) {
      Close();
      co_return Failure(NetError{ NetErrorKind::TlsFailed, ec.message() });
    }
  }
  co_return Result<void, NetError>{};
}

template <class Next>
void SocketStream<Next>::SetUnacknowledgedLimit(Duration aLimit)
{
  if (mUnacknowledgedLimit == aLimit) {
    return;
  }
  mUnacknowledgedLimit = aLimit;
  const int milliseconds = static_cast<int>(std::min(aLimit, kMaximumLimit) / Milliseconds(1));
  setsockopt(Lowest().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds,
             sizeof(milliseconds));
}

template <class Next>
void SocketStream<Next>::WatchForEnd(std::function<void(PeerEnd)> aCallback)
{
  StopWatch();
  mWatch = std::make_shared<Watch>();
  mWatch->callback = std::move(aCallback);
  WaitForInput();
}

template <class Next>
void SocketStream<Next>::WaitForInput()
{
  mWatch->isWaiting = true;
  auto onInput = [this, watch = mWatch](boost::system::error_code aError) {
    watch->isWaiting = false;
    if (aError || !watch->callback) {
      return;
    }
    const auto [ec, hasByte] = Peek(Lowest());
    // A byte is the start of the next request; the end of input behind it is seen by a later read.
    if (hasByte || ec == asio::error::would_block) {
      return;
    }
    const bool isTls = std::is_same_v<Next, TlsSocket>;
    const bool hasEnded = ec == asio::error::eof && !isTls;
    std::exchange(watch->callback, nullptr)(hasEnded ? PeerEnd::EndOfInput : PeerEnd::Broken);
  };
  Lowest().async_wait(Socket::wait_read,
                      asio::bind_cancellation_slot(
                        mWatch->signal.slot(), asio::bind_executor(mExecutor, std::move(onInput))));
}

template <class Next>
void SocketStream<Next>::StopWatch()
{
  if (!mWatch) {
    return;
  }
  const std::shared_ptr<Watch> watch = std::exchange(mWatch, nullptr);
  watch->callback = nullptr;
  if (watch->isWaiting) {
    watch->signal.emit(asio::cancellation_type::terminal);
  }
}

template <class Next>
void SocketStream<Next>::CancelRead()
{
  boost::system::error_code ec;
  Lowest().cancel(ec);
}

template <class Next>
void SocketStream<Next>::Close()
{
  boost::system::error_code ec;
  Lowest().close(ec);
}

template <class Next>
void SocketStream<Next>::Abort()
{
  constexpr int kNoTime = 0;
  boost::system::error_code ec;
  Lowest().set_option(asio::socket_base::linger(true, kNoTime), ec);
  Close();
}

template <class Next>
bool SocketStream<Next>::IsOpen() const
{
  return Lowest().is_open();
}

template <class Next>
bool SocketStream<Next>::HasInput()
{
  if (!IsOpen()) {
    return false;
  }
  const auto [ec, hasByte] = Peek(Lowest());
  return hasByte || ec != asio::error::would_block;
}

template class SocketStream<Socket>;
template class SocketStream<TlsSocket>;

Task<Result<std::unique_ptr<ByteStream>, NetError>> AcceptStream(
  Socket aSocket, std::shared_ptr<TlsContext> aContext, Duration aTimeout)
{
  const Executor executor = co_await asio::this_coro::executor;
  if (!aContext) {
    co_return std::make_unique<SocketStream<Socket>>(std::move(aSocket), executor, nullptr);
  }
  TlsSocket tls(std::move(aSocket), aContext->Native());
  std::unique_ptr<SocketStream<TlsSocket>> stream =
    std::make_unique<SocketStream<TlsSocket>>(std::move(tls), executor, aContext);
  const Result<void, NetError> done = co_await stream->Handshake(true, aTimeout);
  if (!done) {
    co_return Failure(done.error());
  }
  co_return std::unique_ptr<ByteStream>(std::move(stream));
}

} // namespace masticstep::net
