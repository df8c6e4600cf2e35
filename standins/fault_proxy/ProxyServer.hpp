#pragma once

#include "common/HttpServer.hpp"
#include "common/Signal.hpp"
#include "fault_proxy/ProxyFaults.hpp"

#include <memory>
#include <set>

namespace masticstep::standins {

// TCP proxy for one target that injects faults. The faults are set over HTTP on a separate port.
class ProxyServer : public HttpHandler
{
public:
  static Result<std::unique_ptr<ProxyServer>, std::string> Create(asio::io_context& aContext,
                                                                  const Address& aListen,
                                                                  const Address& aTarget);

  Address BoundAddress() const;
  // Handles POST /standin/faults and GET /standin/counters.
  Awaitable<void> Handle(Exchange& aExchange) override;
  // Applies the body of POST /standin/faults; faults that it does not name stay as they are.
  void ApplyFaults(const boost::json::object& aBody);

private:
  struct Connection
  {
    Tcp::socket client;
    Tcp::socket target;
    bool isBlackHoled = false; // permanently discard all data but keep the sockets open
  };
  using ConnectionPointer = std::shared_ptr<Connection>;

  ProxyServer(asio::io_context& aContext, const Address& aTarget);
  Awaitable<void> AcceptLoop();
  Awaitable<void> OpenConnection(ConnectionPointer aConnection);
  Awaitable<void> Forward(ConnectionPointer aConnection, bool aToTarget);
  Awaitable<void> WaitWhileSilent(ConnectionPointer aConnection, bool aToTarget);
  void Close(Connection& aConnection);

  asio::io_context* mContext;
  Tcp::acceptor mAcceptor;
  Address mTarget;
  ProxyFaults mFaults;
  std::set<ConnectionPointer> mConnections;
  std::uint64_t mAccepted = 0;
  std::uint64_t mBlackHoled = 0;
  Signal mFaultsChanged;
};

} // namespace masticstep::standins
