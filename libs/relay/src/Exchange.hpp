#pragma once

#include "StreamSequence.hpp"
#include "masticstep/net/ConnectionPool.hpp"
#include "masticstep/net/HttpClientConnection.hpp"
#include "masticstep/relay/RelayState.hpp"

#include <optional>
#include <string>

namespace masticstep::relay {

// What is known about the execution of a request whose exchange failed.
enum class Progress : std::uint8_t
{
  NotSent,     // no byte reached the backend server
  NotExecuted, // the backend server stated that it did not execute the request
  Unknown      // it may be executing or have been executed
};

struct ExchangeError
{
  Progress progress = Progress::Unknown;
  net::NetErrorKind kind = net::NetErrorKind::Closed;
  std::string detail;
};

// Error of a response that cannot be forwarded.
ExchangeError UnusableResponseError(const BackendResponseHead& aHead);

// One request to one backend server and its response. Must be destroyed on the executor that it was
// used on.
class Exchange
{
public:
  // aUsedConnections holds the connections that have carried a message of the call. They are not
  // used again, so that an answer with the call's id is the answer to this message.
  Exchange(RelayState& aState, const dispatch::Backend& aBackend, std::string aCallId,
           net::ConnectionIds& aUsedConnections);
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  // Sends the request and reads the response head. No read of the exchange lasts beyond aDeadline,
  // however much the backend server sends. Pooled connections that were idle for longer
  // than aMaximumIdle are not used, since the backend server may have closed them without the relay
  // having noticed.
  net::Task<Result<BackendResponseHead, ExchangeError>> Start(net::HttpRequest aRequest,
                                                              Time aDeadline,
                                                              Duration aMaximumIdle);
  // Waits until ReadSome would not have to wait; leaves the connection open.
  net::Task<net::BodyState> AwaitBody(Duration aTimeout);
  // Makes AwaitBody return Waiting.
  void CancelAwait();
  // Returns the next part of the body; empty at its end.
  net::Task<Result<std::string, net::NetError>> ReadSome();
  net::Task<Result<std::string, net::NetError>> ReadAll();
  // Accounts what the caller of this exchange keeps of the body. Closes the connection and fails if
  // the answers of all backend servers use up their memory.
  Result<void, net::NetError> Hold(std::size_t aBytes);
  // Closes the connection, which tells the backend server to cancel the request.
  void Close();

  // How the body of the response ends.
  net::BodyFraming Framing();
  const net::HttpHeaders& Headers() const { return mHead.headers; }
  const dispatch::Backend& Backend() const { return mBackend; }

private:
  // Takes the backend server out of service for new requests.
  void ReportLeaving();
  // Sends no further request to the backend server for a time.
  void ReportPause(Duration aLength);
  void LogRequestLimit(const BackendResponseHead& aHead) const;
  // Returns whether the answer certainly belongs to this message.
  bool IsOwnAnswer(const BackendResponseHead& aAnswer) const;
  net::Task<Result<BackendResponseHead, net::NetError>> ReadMatchingHead();

  RelayState& mState;
  const dispatch::Backend mBackend;
  const std::string mCallId;
  net::ConnectionIds& mUsedConnections;
  std::optional<net::ConnectionPool::Lease> mLease;
  net::HttpResponseHead mHead;
  bool mHasOtherAnswers = false; // answers to other messages came over the connection
  bool mIsClosed = false;
};

} // namespace masticstep::relay
