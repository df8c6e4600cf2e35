#pragma once

#include "masticstep/net/ConnectionPool.hpp"
#include "masticstep/relay/RelayState.hpp"

#include <optional>
#include <string>

namespace masticstep::relay {

// How far a failed exchange had come.
enum class Progress : std::uint8_t
{
  NotSent,     // no byte reached the backend server
  NotExecuted, // the backend server stated that it did not run the request
  Unknown      // it may run or have run
};

struct ExchangeError
{
  Progress progress = Progress::Unknown;
  net::NetErrorKind kind = net::NetErrorKind::Closed;
  std::string detail;
};

// One request to one backend server and its answer. Must be destroyed on the executor that it was
// used on.
class Exchange
{
public:
  Exchange(RelayState& aState, const dispatch::Backend& aBackend, std::string aCallId);

  // Sends the request and reads the head of its answer. A connection that was idle for longer than
  // aMaximumIdle is not used, since the backend server may have closed it unseen.
  net::Task<Result<BackendResponseHead, ExchangeError>> Start(net::HttpRequest aRequest,
                                                              Time aDeadline,
                                                              Duration aMaximumIdle);
  // Returns what has arrived of the body; empty at its end.
  net::Task<Result<std::string, net::NetError>> ReadSome(Duration aTimeout);
  net::Task<Result<std::string, net::NetError>> ReadAll(Time aDeadline);
  // Closes the connection, by which the backend server learns that nobody wants the answer.
  void Close();

  const net::HttpHeaders& Headers() const { return mHead.headers; }
  const BackendServerName& BackendId() const { return mBackend.id; }

private:
  net::Task<Result<BackendResponseHead, net::NetError>> ReadMatchingHead(Time aDeadline);

  RelayState& mState;
  const dispatch::Backend mBackend;
  const std::string mCallId;
  std::optional<net::ConnectionPool::Lease> mLease;
  net::HttpResponseHead mHead;
  bool mIsClosed = false;
};

} // namespace masticstep::relay
