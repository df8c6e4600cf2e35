#pragma once

#include "masticstep/net/ConnectionEnd.hpp"

namespace masticstep::net {

enum class EndAction
{
  Continue, // read on, or let the handler go on
  Probe,    // find out whether the caller still reads
  Refuse,   // answer with a status and close
  Close     // without an answer
};

// What becomes of a connection that an event would end.
struct EndDecision
{
  EndAction action = EndAction::Close;
  unsigned status = 0; // of a refusal

  bool operator==(const EndDecision&) const = default;
};

// Decides from the stage of the request that was read and whether more bytes wait to be read. A
// request or a part of one is never dropped as long as its caller can hear of it.
EndDecision DecideEnd(RequestStage aStage, EndCause aCause, bool aHasInput);

} // namespace masticstep::net
