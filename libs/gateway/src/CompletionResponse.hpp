#pragma once

#include "CompletionRequest.hpp"
#include "Refusal.hpp"
#include "TokenEvent.hpp"
#include "masticstep/net/HttpHandler.hpp"

#include <memory>
#include <string>

namespace masticstep::gateway {

// Form in which a completion is passed on to its caller.
class CompletionResponse
{
public:
  virtual ~CompletionResponse() = default;

  virtual net::Task<Result<void, net::NetError>> Add(const TokenEvent& aToken) = 0;
  virtual net::Task<void> Finish() = 0;
  // Ends the answer with a refusal: with its status if nothing was sent, otherwise explicitly in
  // the form of the answer.
  virtual net::Task<void> Fail(const Refusal& aRefusal) = 0;

  // Returns an SSE stream or one JSON object, as the call asks.
  static std::unique_ptr<CompletionResponse> Create(const CompletionRequest& aCall,
                                                    std::string aRequestId,
                                                    net::HttpResponder& aResponder);
};

} // namespace masticstep::gateway
