#include "FloodServer.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace masticstep::relay {

namespace asio = boost::asio;
using asio::ip::tcp;

FloodServer::FloodServer(Choose aChoose)
  : mChoose(std::move(aChoose))
  , mWorkers(1)
  , mAcceptor(mWorkers.Context(), tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
{
  asio::co_spawn(
    mWorkers.Context(), [this] { return Accept(); }, asio::detached);
}

FloodServer::~FloodServer()
{
  mWorkers.Stop();
}

std::uint16_t FloodServer::Port() const
{
  return mAcceptor.local_endpoint().port();
}

net::Task<void> FloodServer::Accept()
{
  while (true) {
    auto [ec, socket] = co_await mAcceptor.async_accept(asio::as_tuple(asio::use_awaitable));
    if (ec) {
      co_return;
    }
    asio::co_spawn(
      mWorkers.Context(),
      [this, moved = tcp::socket(std::move(socket))]() mutable { return Serve(std::move(moved)); },
      asio::detached);
  }
}

net::Task<void> FloodServer::Serve(tcp::socket aSocket)
{
  std::array<char, 2048> buf{};
  bool isOpen = true;
  while (isOpen) {
    const auto [ec, n] =
      co_await aSocket.async_read_some(asio::buffer(buf), asio::as_tuple(asio::use_awaitable));
    if (ec) {
      co_return;
    }
    const std::string request(buf.data(), n);
    isOpen = co_await SendFlood(aSocket, mChoose(request));
    ++mEnded;
    mWhole += isOpen ? 1 : 0;
  }
}

net::Task<bool> FloodServer::SendFlood(tcp::socket& aSocket, const Flood& aFlood)
{
  const auto [ec, n] = co_await asio::async_write(aSocket, asio::buffer(aFlood.begin),
                                                  asio::as_tuple(asio::use_awaitable));
  bool isOpen = !ec;
  for (std::size_t i = 0; isOpen && i < aFlood.parts; ++i) {
    const auto [failure, written] = co_await asio::async_write(aSocket, asio::buffer(aFlood.part),
                                                               asio::as_tuple(asio::use_awaitable));
    isOpen = !failure;
  }
  co_return isOpen;
}

} // namespace masticstep::relay
