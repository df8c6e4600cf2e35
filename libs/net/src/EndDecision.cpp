#include "EndDecision.hpp"

namespace masticstep::net {

namespace {

EndDecision DecideWhileHandled(EndCause aCause, bool aIsAnswering)
{
  switch (aCause) {
    case EndCause::EndOfInput:
      return { EndAction::Probe, 0 };
    case EndCause::HandlerFailed:
      return aIsAnswering ? EndDecision{ EndAction::Close, 0 }
                          : EndDecision{ EndAction::Refuse, 500 };
    case EndCause::Stopped:
    case EndCause::AnswerCloses:
    case EndCause::Invalid: // found in what follows the request
      return { EndAction::Continue, 0 };
    case EndCause::Reset:
    case EndCause::TimedOut: // the caller does not read its answer
      break;
  }
  return { EndAction::Close, 0 };
}

EndDecision DecideWhileRead(EndCause aCause)
{
  switch (aCause) {
    case EndCause::EndOfInput:
      return { EndAction::Refuse, 400 };
    case EndCause::TimedOut:
      return { EndAction::Refuse, 408 };
    case EndCause::Stopped:
      return { EndAction::Refuse, 503 };
    case EndCause::Invalid:
      return { EndAction::Refuse, 400 };
    case EndCause::Reset:
    case EndCause::AnswerCloses: // no answer may follow that one
    case EndCause::HandlerFailed:
      break;
  }
  return { EndAction::Close, 0 };
}

} // namespace

EndDecision DecideEnd(RequestStage aStage, EndCause aCause, bool aHasInput)
{
  if (aStage == RequestStage::Whole || aStage == RequestStage::Answering) {
    return DecideWhileHandled(aCause, aStage == RequestStage::Answering);
  }
  if (aHasInput && (aCause == EndCause::TimedOut || aCause == EndCause::Stopped)) {
    return { EndAction::Continue, 0 };
  }
  if (aStage == RequestStage::None) {
    return { EndAction::Close, 0 };
  }
  return DecideWhileRead(aCause);
}

} // namespace masticstep::net
