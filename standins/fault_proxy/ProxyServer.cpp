#include "fault_proxy/ProxyServer.hpp"

#include "common/JsonFields.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace masticstep::standins {

namespace {

constexpr std::size_t kReadSize = 16384;
constexpr Duration kSilenceCheck = Seconds(1);

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
    if (!ec && !mFaults.refuses) {
      const LinkPointer link =
        std::make_shared<Link>(Link{ std::move(socket), Tcp::socket(*mContext), false });
      mLinks.insert(link);
      asio::co_spawn(*mContext, OpenLink(link), asio::detached);
    }
  }
}

Awaitable<void> ProxyServer::OpenLink(LinkPointer aLink)
{
  ErrorCode ec;
  const Tcp::endpoint endpoint = EndpointOf(mTarget);
  co_await aLink->target.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, ec));
  if (ec) {
    Close(*aLink);
    mLinks.erase(aLink);
    co_return;
  }
  aLink->client.set_option(Tcp::no_delay(true), ec);
  aLink->target.set_option(Tcp::no_delay(true), ec);
  asio::co_spawn(*mContext, Pump(aLink, true), asio::detached);
  asio::co_spawn(*mContext, Pump(aLink, false), asio::detached);
}

Awaitable<void> ProxyServer::Pump(LinkPointer aLink, bool aToTarget)
{
  Tcp::socket& from = aToTarget ? aLink->client : aLink->target;
  Tcp::socket& to = aToTarget ? aLink->target : aLink->client;
  std::array<char, kReadSize> buffer{};
  ErrorCode ec;
  while (!ec) {
    const std::size_t n = co_await from.async_read_some(
      asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      break;
    }
    co_await Pause(mFaults.delay);
    co_await WaitWhileSilent(aLink, aToTarget);
    if (!aLink->isBlackHoled) {
      co_await asio::async_write(to, asio::buffer(buffer.data(), n),
                                 asio::redirect_error(asio::use_awaitable, ec));
    }
  }
  // A lost network does not tell the other side that a connection has ended.
  co_await WaitWhileSilent(aLink, aToTarget);
  if (!aLink->isBlackHoled) {
    Close(*aLink);
    mLinks.erase(aLink);
  }
}

Awaitable<void> ProxyServer::WaitWhileSilent(LinkPointer aLink, bool aToTarget)
{
  while ((aToTarget ? mFaults.silentToTarget : mFaults.silentToClient) && !aLink->isBlackHoled) {
    co_await mFaultsChanged.WaitFor(kSilenceCheck);
  }
}

void ProxyServer::Close(Link& aLink)
{
  ErrorCode ec;
  aLink.client.close(ec);
  aLink.target.close(ec);
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
                               { "open", mLinks.size() },
                               { "black_holed", mBlackHoled } };
  co_await aExchange.ReplyJson(200, std::move(counters));
}

void ProxyServer::ApplyFaults(const boost::json::object& aBody)
{
  mFaults.delay = Milliseconds(IntegerField(aBody, "delay_ms", mFaults.delay / Milliseconds(1)));
  mFaults.refuses = BooleanField(aBody, "refuse", mFaults.refuses);
  if (aBody.contains("silence")) {
    const std::string silence = TextField(aBody, "silence");
    mFaults.silentToTarget = silence == "to_target" || silence == "both";
    mFaults.silentToClient = silence == "to_client" || silence == "both";
  }
  if (BooleanField(aBody, "black_hole_open", false)) {
    for (const LinkPointer& link : mLinks) {
      mBlackHoled += link->isBlackHoled ? 0 : 1;
      link->isBlackHoled = true;
    }
  }
  if (BooleanField(aBody, "cut", false)) {
    for (const LinkPointer& link : mLinks) {
      Close(*link);
    }
    mLinks.clear();
  }
  mFaultsChanged.NotifyAll();
}

} // namespace masticstep::standins
