#pragma once

#include "common/CompletionClient.hpp"

#include <string_view>

namespace masticstep::standins {

// Reads the server-sent events of a completion as its bytes arrive.
class EventReader
{
public:
  explicit EventReader(CompletionResult& aResult)
    : mResult(&aResult)
  {
  }

  // Reads the lines that are whole and were not read before. aBody is all that arrived so far.
  void Read(std::string_view aBody, Time aNow, const TokenObserver& aObserver);

private:
  void ReadLine(std::string_view aLine, Time aNow);
  void ReadChoice(const boost::json::object& aEvent, Time aNow);

  CompletionResult* mResult;
  std::size_t mRead = 0;
  Time mLastToken;
};

} // namespace masticstep::standins
