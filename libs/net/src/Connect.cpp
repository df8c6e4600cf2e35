#include "Deadline.hpp"
#include "SocketStream.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>
#include <vector>

namespace masticstep::net {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr asio::as_tuple_t<asio::use_awaitable_t<>> kAsResult{};

// A peer that vanished without a reset is noticed after about these three values in seconds.
constexpr int kProbeIdleSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbeCount = 2;

// Makes the kernel probe the connection, since some connections fall silent without a reset.
void DetectSilence(Socket& aSocket)
{
  const int handle = aSocket.native_handle();
  const int enabled = 1;
  setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof(enabled));
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &kProbeIdleSeconds, sizeof(int));
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &kProbeIntervalSeconds, sizeof(int));
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &kProbeCount, sizeof(int));
}

// Returns the endpoints of a host. Address literals need no resolver.
Task<Result<std::vector<tcp::endpoint>, NetError>> Resolve(const HostPort& aAddress)
{
  boost::system::error_code literal;
  const asio::ip::address address = asio::ip::make_address(aAddress.host, literal);
  if (!literal) {
    co_return std::vector<tcp::endpoint>{ tcp::endpoint(address, aAddress.port) };
  }
  tcp::resolver resolver(co_await asio::this_coro::executor);
  const auto [ec, found] =
    co_await resolver.async_resolve(aAddress.host, std::to_string(aAddress.port), kAsResult);
  if (ec) {
    co_return Failure(NetError{ NetErrorKind::ResolveFailed, aAddress.host + ": " + ec.message() });
  }
  std::vector<tcp::endpoint> endpoints;
  for (const tcp::resolver::results_type::value_type& entry : found) {
    endpoints.push_back(entry.endpoint());
  }
  co_return endpoints;
}

Task<Result<Socket, NetError>> ConnectSocket(const HostPort& aAddress, Duration aTimeout)
{
  const Result<std::vector<tcp::endpoint>, NetError> endpoints = co_await Resolve(aAddress);
  if (!endpoints) {
    co_return Failure(endpoints.error());
  }
  const Executor executor = co_await asio::this_coro::executor;
  Socket socket(executor);
  const std::shared_ptr<Deadline> deadline = std::make_shared<Deadline>(executor, [&socket] {
    boost::system::error_code ec;
    socket.close(ec);
  });
  deadline->Start(aTimeout);
  const auto [ec, endpoint] = co_await asio::async_connect(socket, *endpoints, kAsResult);
  deadline->Detach();
  if (deadline->HasExpired()) {
    co_return Failure(NetError{ NetErrorKind::TimedOut, "connect to " + ToString(aAddress) });
  }
  if (ec) {
    co_return Failure(
      NetError{ NetErrorKind::ConnectFailed, ToString(aAddress) + ": " + ec.message() });
  }
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  DetectSilence(socket);
  co_return socket;
}

} // namespace

Task<Result<std::unique_ptr<ByteStream>, NetError>> Connect(HostPort aAddress, Duration aTimeout)
{
  Result<Socket, NetError> socket = co_await ConnectSocket(aAddress, aTimeout);
  if (!socket) {
    co_return Failure(socket.error());
  }
  std::unique_ptr<SocketStream<Socket>> stream = std::make_unique<SocketStream<Socket>>(
    std::move(*socket), co_await asio::this_coro::executor, nullptr);
  stream->SetUnacknowledgedLimit(kUnacknowledgedLimit);
  co_return std::unique_ptr<ByteStream>(std::move(stream));
}

Task<Result<std::unique_ptr<ByteStream>, NetError>> ConnectTls(HostPort aAddress, Duration aTimeout,
                                                               std::shared_ptr<TlsContext> aContext)
{
  Result<Socket, NetError> socket = co_await ConnectSocket(aAddress, aTimeout);
  if (!socket) {
    co_return Failure(socket.error());
  }
  TlsSocket tls(std::move(*socket), aContext->Native());
  std::unique_ptr<SocketStream<TlsSocket>> stream = std::make_unique<SocketStream<TlsSocket>>(
    std::move(tls), co_await asio::this_coro::executor, aContext);
  stream->SetUnacknowledgedLimit(kUnacknowledgedLimit);
  const Result<void, NetError> done = co_await stream->Handshake(false, aTimeout);
  if (!done) {
    co_return Failure(done.error());
  }
  co_return std::unique_ptr<ByteStream>(std::move(stream));
}

} // namespace masticstep::net
