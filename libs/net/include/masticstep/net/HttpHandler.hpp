#pragma once

#include "masticstep/base/Result.hpp"
#include "masticstep/net/ConnectionEnd.hpp"
#include "masticstep/net/HttpMessage.hpp"
#include "masticstep/net/NetError.hpp"
#include "masticstep/net/Task.hpp"

#include <functional>
#include <string_view>

namespace masticstep::net {

// Sends the answer to one request. Used on the executor of the connection only.
class HttpResponder
{
public:
  virtual ~HttpResponder() = default;

  // Sends a whole answer.
  virtual Task<Result<void, NetError>> Send(HttpResponse aResponse) = 0;
  // Begins an answer of unknown length. The head leaves together with the first chunk.
  virtual void StartStream(HttpResponseHead aHead) = 0;
  virtual Task<Result<void, NetError>> WriteChunk(std::string_view aBytes) = 0;
  // Ends the answer. An answer that is not ended closes the connection, so that the caller can tell
  // that it is not complete.
  virtual Task<Result<void, NetError>> EndStream() = 0;
  // Returns true once any part of an answer was begun.
  virtual bool HasStarted() const = 0;
  // Returns true once the caller has closed the connection.
  virtual bool IsGone() const = 0;
  // Sets the function that is called once when the caller closes the connection; replaces the
  // earlier one.
  virtual void OnGone(std::function<void()> aCallback) = 0;
};

// Answers the requests of a server. Called from several threads.
class HttpHandler
{
public:
  virtual ~HttpHandler() = default;

  virtual Task<void> Handle(HttpRequest aRequest, HttpResponder& aResponder) = 0;
  // Returns the answer to a request that could not be read, or to a connection over the limit.
  virtual HttpResponse Refuse(unsigned aStatus, const NetError& aError) = 0;
  // Called when a connection ends that holds a request or a part of one without the answer of
  // Handle.
  virtual void OnConnectionEnd(const ConnectionEnd& /*aEnd*/) {}
};

} // namespace masticstep::net
