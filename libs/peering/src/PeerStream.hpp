#pragma once

#include "masticstep/base/Result.hpp"
#include "masticstep/net/HostPort.hpp"
#include "masticstep/net/NetError.hpp"
#include "masticstep/net/Task.hpp"
#include "masticstep/net/TlsContext.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <span>
#include <string_view>

namespace masticstep {

// TCP or TLS connection that one coroutine may read while another writes. All member functions
// must be called on the executor of the socket. The caller implements timeouts: Close aborts
// every operation in progress.
class PeerStream
{
public:
  virtual ~PeerStream() = default;
  virtual net::Task<Result<void, net::NetError>> Handshake(bool aIsServer) = 0;
  virtual net::Task<Result<std::size_t, net::NetError>> ReadSome(std::span<char> aBuffer) = 0;
  virtual net::Task<Result<void, net::NetError>> WriteAll(std::string_view aBytes) = 0;
  virtual void Close() = 0;
};

// Creates a TLS stream, or a plain TCP stream if the context is null.
std::unique_ptr<PeerStream> MakePeerStream(boost::asio::ip::tcp::socket aSocket,
                                           std::shared_ptr<net::TlsContext> aContext);

// Opens a TCP connection on the current executor; the caller performs the handshake.
net::Task<Result<boost::asio::ip::tcp::socket, net::NetError>> ConnectPeer(net::HostPort aAddress);

} // namespace masticstep
