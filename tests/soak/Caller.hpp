#pragma once

#include "History.hpp"
#include "common/Address.hpp"
#include "common/Asio.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <functional>
#include <memory>
#include <random>

namespace masticstep::soak {

using standins::Awaitable;

// What the callers of a run share.
struct CallerRoom
{
  History* history = nullptr;
  bool isOver = false;
  // Daemon for a new connection, as the platform's balancer chooses it.
  std::function<std::size_t(std::uint64_t)> chooseDaemon;
  std::vector<standins::Address> daemons;
  // Newest route that the operator added or removed; empty if there is none.
  std::string newestPrefix;
};

// A caller that makes one call after the other and keeps its connections as long as it can.
class Caller
{
public:
  Caller(CallerRoom& aRoom, std::uint64_t aNumber, std::uint64_t aSeed);
  Awaitable<void> Run();

private:
  struct Connection
  {
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::size_t daemon = 0;
    bool isUsed = false;
  };

  Awaitable<void> Connect();
  Awaitable<void> Call();
  Awaitable<void> ReadAnswer(std::size_t aCall, Duration aPatience, bool aLeaves);
  CallRecord NewCall();
  std::int64_t Between(std::int64_t aLeast, std::int64_t aMost);

  CallerRoom& mRoom;
  std::uint64_t mNumber;
  std::uint64_t mCalls = 0;
  std::mt19937_64 mRandom;
  std::unique_ptr<Connection> mConnection;
};

} // namespace masticstep::soak
