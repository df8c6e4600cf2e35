#pragma once

#include "common/HttpClient.hpp"

#include <functional>

namespace masticstep::standins {

struct CompletionCall
{
  Address server;
  std::string key;       // bearer key; empty sends none
  std::string className; // X-Class; empty sends none
  std::string model;
  std::string prompt;
  std::uint32_t maxTokens = 16;
  Duration silenceLimit = Seconds(15); // longest wait for the next byte
};

struct CompletionResult
{
  unsigned status = 0;     // 0 if no answer began
  bool isComplete = false; // the stream ended with [DONE]
  std::string text;
  std::uint32_t tokens = 0;
  bool hasGap = false; // an offset was repeated or left out
  std::string error;   // error event, refusal body or failure of the connection
  Time sent;
  Time firstToken;
  std::vector<Duration> gaps; // between one token and the next

  // True if the text is the whole answer to the call's prompt.
  bool IsWholeAnswerTo(const CompletionCall& aCall) const;
};

// Called after each token with the number of tokens so far.
using TokenObserver = std::function<void(std::uint32_t)>;

// Streams one completion over its own connection.
Awaitable<CompletionResult> StreamCompletion(CompletionCall aCall, TokenObserver aObserver);

// Streams one completion and waits for its end.
CompletionResult StreamNow(const CompletionCall& aCall, const TokenObserver& aObserver = {});

} // namespace masticstep::standins
