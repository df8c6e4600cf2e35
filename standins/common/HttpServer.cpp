#include "common/HttpServer.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

namespace masticstep::standins {

namespace http = boost::beast::http;

namespace {

// Above the platform's object limit of 1 MiB, so that the handler can reply with status 413 itself.
constexpr std::uint64_t kMaxRequestBodyBytes = 8U << 20U;

} // namespace

Result<std::unique_ptr<HttpServer>, std::string> HttpServer::Create(asio::io_context& aContext,
                                                                    const Address& aListen,
                                                                    HttpHandler& aHandler)
{
  std::unique_ptr<HttpServer> server(new HttpServer(aContext, aHandler));
  const Tcp::endpoint endpoint = EndpointOf(aListen);
  ErrorCode ec;
  server->mAcceptor.open(endpoint.protocol(), ec);
  if (!ec) {
    server->mAcceptor.set_option(Tcp::acceptor::reuse_address(true), ec);
  }
  if (!ec) {
    server->mAcceptor.bind(endpoint, ec);
  }
  if (!ec) {
    server->mAcceptor.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return Failure("cannot listen on " + aListen.Text() + ": " + ec.message());
  }
  asio::co_spawn(aContext, server->AcceptLoop(), asio::detached);
  return server;
}

HttpServer::HttpServer(asio::io_context& aContext, HttpHandler& aHandler)
  : mContext(&aContext)
  , mAcceptor(aContext)
  , mHandler(&aHandler)
{
}

Address HttpServer::BoundAddress() const
{
  ErrorCode ec;
  const Tcp::endpoint endpoint = mAcceptor.local_endpoint(ec);
  return { endpoint.address().to_string(), endpoint.port() };
}

Awaitable<void> HttpServer::AcceptLoop()
{
  while (mAcceptor.is_open()) {
    ErrorCode ec;
    Tcp::socket socket =
      co_await mAcceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
    if (ec == asio::error::operation_aborted) {
      co_return;
    }
    if (!ec) {
      socket.set_option(Tcp::no_delay(true), ec);
      asio::co_spawn(*mContext, ServeConnection(std::move(socket)), asio::detached);
    }
  }
}

Awaitable<void> HttpServer::ServeConnection(Tcp::socket aSocket)
{
  boost::beast::flat_buffer buffer;
  bool keepAlive = true;
  while (keepAlive) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxRequestBodyBytes);
    ErrorCode ec;
    co_await http::async_read(aSocket, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      co_return;
    }
    Exchange exchange(aSocket, parser.release());
    co_await mHandler->Handle(exchange);
    keepAlive = exchange.IsKeepAlive();
  }
}

} // namespace masticstep::standins
