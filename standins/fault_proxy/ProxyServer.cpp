#include "fault_proxy/ProxyServer.hpp"

#include "common/JsonFields.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace masticstep::standins {

namespace {

constexpr std::size_t kReadBufferBytes = 16384;
constexpr Duration kSilenceCheckInterval = Seconds(1);

} // namespace

Result<std::unique_ptr<ProxyServer>, std::string> ProxyServer::Create(asio::io_context& aContext,
                                                                      const Address& aListen,
                                                                      const Address& aTarget)
{
  std::unique_ptr<ProxyServer> proxy(new ProxyServer(aContext, aTarget));
  const Tcp::endpoint endpoint = EndpointOf(aListen);
  ErrorCode ec;
  proxy->mAcceptor.open(endpoint.protocol(), ec);
  if (!ec) {
    proxy->mAcceptor.set_option(Tcp::acceptor::reuse_address(true), ec);
  }
  if (!ec) {
    proxy->mAcceptor.bind(endpoint, ec);
  }
  if (!ec) {
    proxy->mAcceptor.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return Failure("cannot listen on " + aListen.Text() + ": " + ec.message());
  }
  asio::co_spawn(aContext, proxy->AcceptLoop(), asio::detached);
  return proxy;
}

ProxyServer::ProxyServer(asio::io_context& aContext, const Address& aTarget)
  : mContext(&aContext)
  , mAcceptor(aContext)
  , mTarget(aTarget)
{
}

Address ProxyServer::BoundAddress() const
{
  ErrorCode ec;
  const Tcp::endpoint endpoint = mAcceptor.local_endpoint(ec);
  return { endpoint.address().to_string(), endpoint.port() };
}

Awaitable<void> ProxyServer::AcceptLoop()
{
  while (mAcceptor.is_open()) {
    ErrorCode ec;
    Tcp::socket socket =
      co_await mAcceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
    if (ec == asio::error::operation_aborted) {
      co_return;
    }
    ++mAccepted;
    if (!ec && !mFaults.refuseConnections) {
      const ConnectionPointer connection = std::make_shared<Connection>(
        Connection{ std::move(socket), Tcp::socket(*mContext), false });
      mConnections.insert(connection);
      asio::co_spawn(*mContext, OpenConnection(connection), asio::detached);
    }
  }
}

Awaitable<void> ProxyServer::OpenConnection(ConnectionPointer aConnection)
{
  ErrorCode ec;
  const Tcp::endpoint endpoint = EndpointOf(mTarget);
  co_await aConnection->target.async_connect(endpoint,
                                             asio::redirect_error(asio::use_awaitable, ec));
  if (ec) {
    Close(*aConnection);
    mConnections.erase(aConnection);
    co_return;
  }
  aConnection->client.set_option(Tcp::no_delay(true), ec);
  aConnection->target.set_option(Tcp::no_delay(true), ec);
  asio::co_spawn(*mContext, Forward(aConnection, true), asio::detached);
  asio::co_spawn(*mContext, Forward(aConnection, false), asio::detached);
}

Awaitable<void> ProxyServer::Forward(ConnectionPointer aConnection, bool aToTarget)
{
  Tcp::socket& from = aToTarget ? aConnection->client : aConnection->target;
  Tcp::socket& to = aToTarget ? aConnection->target : aConnection->client;
  std::array<char, kReadBufferBytes> buffer{};
  ErrorCode ec;
  while (!ec) {
    const std::size_t n = co_await from.async_read_some(
      asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      break;
    }
    co_await Pause(mFaults.delay);
    co_await WaitWhileSilent(aConnection, aToTarget);
    if (!aConnection->isBlackHoled) {
      co_await asio::async_write(to, asio::buffer(buffer.data(), n),
                                 asio::redirect_error(asio::use_awaitable, ec));
    }
  }
  // During a simulated network failure, the end of a connection must not reach the other side.
  co_await WaitWhileSilent(aConnection, aToTarget);
  if (!aConnection->isBlackHoled) {
    Close(*aConnection);
    mConnections.erase(aConnection);
  }
}

Awaitable<void> ProxyServer::WaitWhileSilent(ConnectionPointer aConnection, bool aToTarget)
{
  while ((aToTarget ? mFaults.silentToTarget : mFaults.silentToClient) &&
         !aConnection->isBlackHoled) {
    co_await mFaultsChanged.WaitFor(kSilenceCheckInterval);
  }
}

void ProxyServer::Close(Connection& aConnection)
{
  ErrorCode ec;
  aConnection.client.close(ec);
  aConnection.target.close(ec);
}

Awaitable<void> ProxyServer::Handle(Exchange& aExchange)
{
  const std::optional<boost::json::object> body = aExchange.JsonBody();
  if (aExchange.Path() == "/standin/faults" && body) {
    ApplyFaults(*body);
    co_await aExchange.Reply(200, "{}");
    co_return;
  }
  boost::json::value counters{ { "accepted", mAccepted },
                               { "open", mConnections.size() },
                               { "black_holed", mBlackHoled } };
  co_await aExchange.ReplyJson(200, std::move(counters));
}

void ProxyServer::ApplyFaults(const boost::json::object& aBody)
{
  mFaults.delay = Milliseconds(IntegerField(aBody, "delay_ms", mFaults.delay / Milliseconds(1)));
  mFaults.refuseConnections = BooleanField(aBody, "refuse", mFaults.refuseConnections);
  if (aBody.contains("silence")) {
    const std::string silence = StringField(aBody, "silence");
    mFaults.silentToTarget = silence == "to_target" || silence == "both";
    mFaults.silentToClient = silence == "to_client" || silence == "both";
  }
  if (BooleanField(aBody, "black_hole_open", false)) {
    for (const ConnectionPointer& connection : mConnections) {
      mBlackHoled += connection->isBlackHoled ? 0 : 1;
      connection->isBlackHoled = true;
    }
  }
  if (BooleanField(aBody, "cut", false)) {
    for (const ConnectionPointer& connection : mConnections) {
      Close(*connection);
    }
    mConnections.clear();
  }
  mFaultsChanged.NotifyAll();
}

} // namespace masticstep::standins
