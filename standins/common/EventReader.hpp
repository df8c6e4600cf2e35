#pragma once

#include "common/CompletionClient.hpp"

#include <string_view>

namespace masticstep::standins {

// Incremental parser for the server-sent events of a completion.
class EventReader
{
public:
  explicit EventReader(CompletionResult& aResult)
    : mResult(&aResult)
  {
  }

  // Parses the complete lines that earlier calls have not parsed. aBody is the whole body received
  // so far.
  void Read(std::string_view aBody, Time aNow, const TokenObserver& aObserver);

private:
  void ParseLine(std::string_view aLine, Time aNow);
  void ParseChoice(const boost::json::object& aEvent, Time aNow);

  CompletionResult* mResult;
  std::size_t mParsedBytes = 0;
  Time mLastToken;
};

} // namespace masticstep::standins
