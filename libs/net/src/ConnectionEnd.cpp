#include "masticstep/net/ConnectionEnd.hpp"

namespace masticstep::net {

const char* ToString(RequestStage aStage)
{
  switch (aStage) {
    case RequestStage::None:
      return "none";
    case RequestStage::Head:
      return "head";
    case RequestStage::Body:
      return "body";
    case RequestStage::Whole:
      return "whole";
    case RequestStage::Answering:
      return "answering";
  }
  return "unknown";
}

const char* ToString(EndCause aCause)
{
  switch (aCause) {
    case EndCause::EndOfInput:
      return "end_of_input";
    case EndCause::Reset:
      return "reset";
    case EndCause::TimedOut:
      return "timed_out";
    case EndCause::Stopped:
      return "stopped";
    case EndCause::AnswerCloses:
      return "answer_closes";
    case EndCause::HandlerFailed:
      return "handler_failed";
    case EndCause::Invalid:
      return "invalid";
  }
  return "unknown";
}

std::string ReasonOf(const ConnectionEnd& aEnd)
{
  return std::string(ToString(aEnd.stage)) + "_" + ToString(aEnd.cause);
}

std::ostream& operator<<(std::ostream& aStream, RequestStage aStage)
{
  return aStream << ToString(aStage);
}

std::ostream& operator<<(std::ostream& aStream, EndCause aCause)
{
  return aStream << ToString(aCause);
}

} // namespace masticstep::net
