#include "LoopbackServer.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace masticstep::net {

namespace asio = boost::asio;
using asio::ip::tcp;

FunctionHandler::FunctionHandler(Function aFunction)
  : mFunction(std::move(aFunction))
{
}

Task<void> FunctionHandler::Handle(HttpRequest aRequest, HttpResponder& aResponder)
{
  co_await mFunction(std::move(aRequest), aResponder);
}

HttpResponse FunctionHandler::Refuse(unsigned aStatus, const NetError& aError)
{
  return { aStatus, {}, ToString(aError.kind) };
}

LoopbackServer::LoopbackServer(const ServerLimits& aLimits, FunctionHandler::Function aFunction,
                               std::shared_ptr<TlsContext> aTls)
  : mWorkers(2)
  , mServer(std::move(*HttpServer::Create(mWorkers.Context(), { "127.0.0.1", 0 }, aLimits,
                                          std::make_shared<FunctionHandler>(std::move(aFunction)),
                                          std::move(aTls))))
{
}

LoopbackServer::~LoopbackServer()
{
  mWorkers.Stop();
}

RawClient::RawClient(const HostPort& aAddress)
  : mSocket(mContext)
{
  mSocket.connect(tcp::endpoint(asio::ip::make_address(aAddress.host), aAddress.port));
}

void RawClient::Send(const std::string& aText)
{
  boost::system::error_code ec;
  asio::write(mSocket, asio::buffer(aText), ec);
  Note(ec);
}

std::string RawClient::ReadUntil(const std::string& aText)
{
  std::string text;
  boost::system::error_code ec;
  std::array<char, 4096> buf{};
  while (!ec && (aText.empty() || text.find(aText) == std::string::npos)) {
    const std::size_t n = mSocket.read_some(asio::buffer(buf), ec);
    text.append(buf.data(), n);
  }
  Note(ec);
  return text;
}

std::string RawClient::ReadUntilClosed()
{
  return ReadUntil({});
}

void RawClient::Close()
{
  mSocket.close();
}

void RawClient::Note(boost::system::error_code aError)
{
  mWasReset |= aError == asio::error::connection_reset || aError == asio::error::broken_pipe;
}

void RawClient::EndSending()
{
  mSocket.shutdown(tcp::socket::shutdown_send);
}

void RawClient::LimitReceiveBuffer()
{
  mSocket.set_option(asio::socket_base::receive_buffer_size(4096));
}

ScriptedServer::ScriptedServer(Script aScript)
  : mScript(std::move(aScript))
  , mWorkers(1)
  , mAcceptor(mWorkers.Context(), tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
{
  asio::co_spawn(
    mWorkers.Context(), [this] { return Accept(); }, asio::detached);
}

ScriptedServer::~ScriptedServer()
{
  mWorkers.Stop();
}

HostPort ScriptedServer::Address() const
{
  return { "127.0.0.1", mAcceptor.local_endpoint().port() };
}

Task<void> ScriptedServer::Accept()
{
  for (std::size_t n = 0;; ++n) {
    tcp::socket socket = co_await mAcceptor.async_accept(asio::use_awaitable);
    asio::co_spawn(
      mWorkers.Context(),
      [this, n, moved = std::move(socket)]() mutable { return Serve(std::move(moved), n); },
      asio::detached);
  }
}

Task<void> ScriptedServer::Serve(tcp::socket aSocket, std::size_t aConnection)
{
  std::array<char, 4096> buf{};
  while (true) {
    const auto [ec, n] =
      co_await aSocket.async_read_some(asio::buffer(buf), asio::as_tuple(asio::use_awaitable));
    if (ec) {
      co_return;
    }
    const std::string request(buf.data(), n);
    const std::string reply = mScript(aConnection, request);
    co_await asio::async_write(aSocket, asio::buffer(reply), asio::use_awaitable);
    if (reply.empty() || request.starts_with("GET /close")) {
      co_return;
    }
  }
}

} // namespace masticstep::net
