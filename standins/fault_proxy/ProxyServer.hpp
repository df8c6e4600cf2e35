#pragma once

#include "common/HttpServer.hpp"
#include "common/Signal.hpp"
#include "fault_proxy/ProxyFaults.hpp"

#include <memory>
#include <set>

namespace masticstep::standins {

// Passes TCP connections on to one target. Its faults are set over HTTP on another port.
class ProxyServer : public HttpHandler
{
public:
  static Result<std::unique_ptr<ProxyServer>, std::string> Create(asio::io_context& aContext,
                                                                  const Address& aListen,
                                                                  const Address& aTarget);

  Address BoundAddress() const;
  // Handles POST /standin/faults and GET /standin/counters.
  Awaitable<void> Handle(Exchange& aExchange) override;
  // Sets the faults of the members that the object has, as POST /standin/faults does.
  void ApplyFaults(const boost::json::object& aBody);

private:
  struct Link
  {
    Tcp::socket client;
    Tcp::socket target;
    bool isBlackHoled = false; // stays open and loses all bytes, for ever
  };
  using LinkPointer = std::shared_ptr<Link>;

  ProxyServer(asio::io_context& aContext, const Address& aTarget);
  Awaitable<void> AcceptLoop();
  Awaitable<void> OpenLink(LinkPointer aLink);
  Awaitable<void> Pump(LinkPointer aLink, bool aToTarget);
  Awaitable<void> WaitWhileSilent(LinkPointer aLink, bool aToTarget);
  void Close(Link& aLink);

  asio::io_context* mContext;
  Tcp::acceptor mAcceptor;
  Address mTarget;
  ProxyFaults mFaults;
  std::set<LinkPointer> mLinks;
  std::uint64_t mAccepted = 0;
  std::uint64_t mBlackHoled = 0;
  Signal mFaultsChanged;
};

} // namespace masticstep::standins
