#pragma once

#include <ostream>
#include <string>

namespace masticstep::net {

// How much of a request a connection holds that has not been answered.
enum class RequestStage
{
  None,
  Head,     // a part of the head
  Body,     // the head and a part of the body
  Whole,    // it is handled
  Answering // a part of its answer was written
};

// What ends a connection, or the reading from it.
enum class EndCause
{
  EndOfInput, // the caller sends no more
  Reset,      // the caller closed the connection or it broke
  TimedOut,
  Stopped,      // the server stops
  AnswerCloses, // the last answer said that the connection closes
  HandlerFailed,
  Invalid // the request breaks the protocol or a limit
};

// End of a connection that held a request or a part of one.
struct ConnectionEnd
{
  RequestStage stage = RequestStage::None;
  EndCause cause = EndCause::EndOfInput;
  unsigned status = 0; // of the answer; 0: none

  bool operator==(const ConnectionEnd&) const = default;
};

// Returns stage and cause as the label of a metric, such as "body_timed_out".
std::string ReasonOf(const ConnectionEnd& aEnd);

// Return short names for logs and metrics, such as "body" and "timed_out".
const char* ToString(RequestStage aStage);
const char* ToString(EndCause aCause);
std::ostream& operator<<(std::ostream& aStream, RequestStage aStage);
std::ostream& operator<<(std::ostream& aStream, EndCause aCause);

} // namespace masticstep::net
