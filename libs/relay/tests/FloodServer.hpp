#pragma once

#include "masticstep/net/Task.hpp"
#include "masticstep/net/WorkerPool.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>

namespace masticstep::relay {

// Answer of a flooding server: a begin, and bytes that are sent again and again.
struct Flood
{
  std::string begin;
  std::string part; // none if empty
  std::size_t parts = 0;
};

// Loopback backend server for answers of many bytes. Its connections share the bytes, so that they
// are not counted as memory of the relay, which runs in the same process.
class FloodServer
{
public:
  // Returns which answer a request gets; the answer must outlive the server.
  using Choose = std::function<const Flood&(const std::string& aRequest)>;

  explicit FloodServer(Choose aChoose);
  ~FloodServer();
  FloodServer(const FloodServer&) = delete;
  FloodServer& operator=(const FloodServer&) = delete;

  std::uint16_t Port() const;
  // Number of answers that were sent in full or until their connection was closed.
  std::size_t Ended() const { return mEnded; }
  // Number of answers that were sent in full.
  std::size_t Whole() const { return mWhole; }

private:
  net::Task<void> Accept();
  net::Task<void> Serve(boost::asio::ip::tcp::socket aSocket);
  // Returns whether the connection is still open.
  static net::Task<bool> SendFlood(boost::asio::ip::tcp::socket& aSocket, const Flood& aFlood);

  Choose mChoose;
  std::atomic<std::size_t> mEnded{ 0 };
  std::atomic<std::size_t> mWhole{ 0 };
  net::WorkerPool mWorkers;
  boost::asio::ip::tcp::acceptor mAcceptor;
};

} // namespace masticstep::relay
