#include "EndDecision.hpp"

#include "masticstep/testing/Test.hpp"

#include <array>

using namespace masticstep;
using namespace masticstep::net;

namespace {

constexpr std::array kStages{ RequestStage::None, RequestStage::Head, RequestStage::Body,
                              RequestStage::Whole, RequestStage::Answering };
constexpr std::array kCauses{ EndCause::EndOfInput, EndCause::Reset,        EndCause::TimedOut,
                              EndCause::Stopped,    EndCause::AnswerCloses, EndCause::HandlerFailed,
                              EndCause::Invalid };

constexpr EndDecision kContinue{ EndAction::Continue, 0 };
constexpr EndDecision kProbe{ EndAction::Probe, 0 };
constexpr EndDecision kClose{ EndAction::Close, 0 };

constexpr EndDecision Refuse(unsigned aStatus)
{
  return { EndAction::Refuse, aStatus };
}

// One row for each stage, one column for each cause.
using Table = std::array<std::array<EndDecision, kCauses.size()>, kStages.size()>;

constexpr Table kWithoutInput{ {
  { kClose, kClose, kClose, kClose, kClose, kClose, kClose },
  { Refuse(400), kClose, Refuse(408), Refuse(503), kClose, kClose, Refuse(400) },
  { Refuse(400), kClose, Refuse(408), Refuse(503), kClose, kClose, Refuse(400) },
  { kProbe, kClose, kClose, kContinue, kContinue, Refuse(500), kContinue },
  { kProbe, kClose, kClose, kContinue, kContinue, kClose, kContinue },
} };

constexpr Table kWithInput{ {
  { kClose, kClose, kContinue, kContinue, kClose, kClose, kClose },
  { Refuse(400), kClose, kContinue, kContinue, kClose, kClose, Refuse(400) },
  { Refuse(400), kClose, kContinue, kContinue, kClose, kClose, Refuse(400) },
  { kProbe, kClose, kClose, kContinue, kContinue, Refuse(500), kContinue },
  { kProbe, kClose, kClose, kContinue, kContinue, kClose, kContinue },
} };

void CheckTable(const Table& aTable, bool aHasInput)
{
  for (std::size_t stage = 0; stage < kStages.size(); ++stage) {
    for (std::size_t cause = 0; cause < kCauses.size(); ++cause) {
      const EndDecision decision = DecideEnd(kStages[stage], kCauses[cause], aHasInput);
      CHECK_TRUE(aTable[stage][cause] == decision);
    }
  }
}

} // namespace

// Guards against an end of a connection that drops a request whose caller can still be answered.
MASTICSTEP_TEST("the end of a connection is decided for each stage and cause", "[net][end]")
{
  CheckTable(kWithoutInput, false);
  CheckTable(kWithInput, true);
}
