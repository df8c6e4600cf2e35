#pragma once

#include "common/HttpClient.hpp"

#include <functional>

namespace masticstep::standins {

struct CompletionCall
{
  Address server;
  std::string key;       // bearer token; no Authorization header if empty
  std::string className; // value of X-Class; no header if empty
  std::string model;
  std::string prompt;
  std::uint32_t maxTokens = 16;
  Duration idleTimeout = Seconds(15); // maximum wait for the next bytes
};

struct CompletionResult
{
  unsigned status = 0;     // HTTP status; 0 if no response header arrived
  bool isComplete = false; // the stream ended with [DONE]
  std::string text;
  std::uint32_t tokens = 0;
  bool hasGap = false; // an offset was repeated or skipped
  std::string error;   // error event, body of an error response, or connection error
  Time sent;
  Time firstToken;
  std::vector<Duration> gaps; // intervals between consecutive tokens

  // Returns true if the stream ended normally and its text is the complete expected completion.
  bool IsWholeAnswerTo(const CompletionCall& aCall) const;
};

// Called after each token with the number of tokens received so far.
using TokenObserver = std::function<void(std::uint32_t)>;

// Streams one completion over a new connection.
Awaitable<CompletionResult> StreamCompletion(CompletionCall aCall, TokenObserver aObserver);

// Streams one completion and blocks until it has ended.
CompletionResult StreamCompletionBlocking(const CompletionCall& aCall,
                                          const TokenObserver& aObserver = {});

} // namespace masticstep::standins
