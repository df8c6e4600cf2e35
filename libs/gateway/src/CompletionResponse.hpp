#pragma once

#include "CompletionRequest.hpp"
#include "Refusal.hpp"
#include "TokenEvent.hpp"
#include "masticstep/net/HttpHandler.hpp"

#include <memory>
#include <string>

namespace masticstep::gateway {

// Writes the response to a completion request.
class CompletionResponse
{
public:
  virtual ~CompletionResponse() = default;

  virtual net::Task<Result<void, net::NetError>> Add(const TokenEvent& aToken) = 0;
  virtual net::Task<void> Finish() = 0;
  // Ends the response with an error: with its HTTP status if nothing was sent yet, otherwise with
  // an error event in the stream.
  virtual net::Task<void> Fail(const Refusal& aRefusal) = 0;

  // Creates a writer of an SSE stream or of one JSON object, as requested by the caller.
  static std::unique_ptr<CompletionResponse> Create(const CompletionRequest& aRequest,
                                                    std::string aRequestId,
                                                    net::HttpResponder& aResponder);
};

} // namespace masticstep::gateway
