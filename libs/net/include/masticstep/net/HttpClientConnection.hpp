#pragma once

#include "masticstep/net/ByteBudget.hpp"
#include "masticstep/net/ByteStream.hpp"
#include "masticstep/net/HttpMessage.hpp"

#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace masticstep::net {

// Tells the connections of this process from each other.
enum class ConnectionId : std::uint64_t
{
};
using ConnectionIds = std::set<ConnectionId>;

// What can be read of an answer's body at a moment.
enum class BodyState : std::uint8_t
{
  Waiting, // nothing yet
  Ready,   // bytes, or the end of the body
  Broken   // the connection has failed or was closed
};

// One connection to an HTTP server, used for one exchange at a time: Send, ReadHead, then
// ReadBodySome until it returns an empty string. Each exchange has a deadline, after which its
// reads fail with TimedOut, also if the server never stops sending. What the connection and its
// reader keep of an answer is taken from a budget; an answer that the budget does not allow fails
// with BodyTooLarge.
class HttpClientConnection
{
public:
  // Without a budget, answers may be of any size.
  HttpClientConnection(std::unique_ptr<ByteStream> aStream, HostPort aAddress,
                       std::shared_ptr<ByteBudget> aBudget = nullptr);
  ~HttpClientConnection();
  HttpClientConnection(HttpClientConnection&&) noexcept;
  HttpClientConnection& operator=(HttpClientConnection&&) noexcept;

  // Begins an exchange that ends at aDeadline; Time::max() for none. After a failure it is unknown
  // which bytes arrived at the server.
  Task<Result<void, NetError>> Send(const HttpRequest& aRequest, Time aDeadline);
  // Changes the deadline for the reads that follow.
  void SetDeadline(Time aDeadline);
  Task<Result<HttpResponseHead, NetError>> ReadHead();
  // Returns what has arrived of the body; empty at its end.
  Task<Result<std::string, NetError>> ReadBodySome();

  // Waits until ReadBodySome would not have to wait. Unlike a read, it leaves the connection open
  // when aTimeout has passed.
  Task<BodyState> AwaitBody(Duration aTimeout);
  // Makes AwaitBody return Waiting.
  void CancelAwait();

  // Drops the answer whose head was read, which belongs to another request, and makes ReadHead read
  // the next one. The connection is not reusable afterwards.
  Task<Result<void, NetError>> SkipAnswer();

  // Accounts what the reader keeps of the answer, beside what the connection itself keeps, until
  // the next Send. Closes the connection and fails if the budget does not allow it.
  Result<void, NetError> Hold(std::size_t aBytes);

  // Waits for bytes of a server to which nothing was sent. Fails with Closed or Reset if the server
  // ends the connection, and with TimedOut if it stays open without a byte. The connection is not
  // reusable afterwards.
  Task<Result<void, NetError>> AwaitUnrequested(Duration aTimeout);

  // Returns how the body of the answer whose head was read is delimited.
  BodyFraming Framing() const;
  // The connection is not reusable from now on.
  void PreventReuse();
  // Returns true if the last answer was read in full and the server keeps the connection open.
  bool IsReusable();
  // Time that the server keeps the connection open without a request, by its last answer.
  Duration MaximumIdle() const;
  void Close();
  // See ByteStream.
  void Attach(Executor aExecutor);
  void Detach();
  const HostPort& Address() const;
  ConnectionId Id() const;

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace masticstep::net
