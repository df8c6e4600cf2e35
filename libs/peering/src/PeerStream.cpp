#include "PeerStream.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <openssl/ssl.h>

#include <type_traits>
#include <utility>

namespace masticstep {

namespace asio = boost::asio;
using asio::ip::tcp;
using net::NetError;
using net::NetErrorKind;

namespace {

constexpr asio::as_tuple_t<asio::use_awaitable_t<>> kAsResult{};

using TlsSocket = asio::ssl::stream<tcp::socket>;

template <class Next>
class SocketPeerStream : public PeerStream
{
public:
  SocketPeerStream(Next aNext, std::shared_ptr<net::TlsContext> aContext)
    : mContext(std::move(aContext))
    , mNext(std::move(aNext))
  {
  }

  net::Task<Result<void, NetError>> Handshake(bool aIsServer) override
  {
    if constexpr (std::is_same_v<Next, TlsSocket>) {
      const asio::ssl::stream_base::handshake_type type =
        aIsServer ? asio::ssl::stream_base::server : asio::ssl::stream_base::client;
      const auto [ec] = co_await mNext.async_handshake(type, kAsResult);
      if (ec) {
        co_return Failure(NetError{ NetErrorKind::TlsFailed, ec.message() });
      }
    }
    co_return Result<void, NetError>{};
  }

  net::Task<Result<std::size_t, NetError>> ReadSome(std::span<char> aBuffer) override
  {
    const auto [ec, n] =
      co_await mNext.async_read_some(asio::buffer(aBuffer.data(), aBuffer.size()), kAsResult);
    if (ec) {
      co_return Failure(NetError{ NetErrorKind::Closed, ec.message() });
    }
    co_return n;
  }

  net::Task<Result<void, NetError>> WriteAll(std::string_view aBytes) override
  {
    const auto [ec, n] =
      co_await asio::async_write(mNext, asio::buffer(aBytes.data(), aBytes.size()), kAsResult);
    if (ec) {
      co_return Failure(NetError{ NetErrorKind::Closed, ec.message() });
    }
    co_return Result<void, NetError>{};
  }

  void Close() override
  {
    boost::system::error_code ec;
    if constexpr (std::is_same_v<Next, TlsSocket>) {
      mNext.next_layer().close(ec);
    } else {
      mNext.close(ec);
    }
  }

private:
  std::shared_ptr<net::TlsContext> mContext; // keeps the context of mNext alive
  Next mNext;
};

} // namespace

std::unique_ptr<PeerStream> MakePeerStream(tcp::socket aSocket,
                                           std::shared_ptr<net::TlsContext> aContext)
{
  if (!aContext) {
    return std::make_unique<SocketPeerStream<tcp::socket>>(std::move(aSocket), nullptr);
  }
  TlsSocket tls(std::move(aSocket), aContext->Native());
  // In a data centre of 74 daemons, most of a daemon's 73 links are idle. Without this mode each
  // idle link keeps 34 KB of buffers.
  SSL_set_mode(tls.native_handle(), SSL_MODE_RELEASE_BUFFERS);
  return std::make_unique<SocketPeerStream<TlsSocket>>(std::move(tls), std::move(aContext));
}

net::Task<Result<tcp::socket, NetError>> ConnectPeer(net::HostPort aAddress)
{
  const net::Executor executor = co_await asio::this_coro::executor;
  tcp::socket socket(executor);
  boost::system::error_code literal;
  const asio::ip::address address = asio::ip::make_address(aAddress.host, literal);
  std::vector<tcp::endpoint> endpoints = { tcp::endpoint(address, aAddress.port) };
  if (literal) {
    tcp::resolver resolver(executor);
    const auto [ec, found] =
      co_await resolver.async_resolve(aAddress.host, std::to_string(aAddress.port), kAsResult);
    if (ec) {
      co_return Failure(NetError{ NetErrorKind::ResolveFailed, ec.message() });
    }
    endpoints.assign(found.begin(), found.end());
  }
  const auto [ec, endpoint] = co_await asio::async_connect(socket, endpoints, kAsResult);
  if (ec) {
    co_return Failure(NetError{ NetErrorKind::ConnectFailed, ec.message() });
  }
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  co_return Result<tcp::socket, NetError>(std::move(socket));
}

} // namespace masticstep
