#pragma once

#include "masticstep/quarantine/EngineCrash.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace masticstep::quarantine {

// A prompt part that is not sent to engines until the quarantine ends.
struct QuarantinedPart
{
  std::uint64_t part = 0;
  Time until{};

  auto operator<=>(const QuarantinedPart&) const = default;
};

// A suspected part with which this daemon has received a whole answer.
struct SoundPart
{
  std::uint64_t part = 0;
  Time answeredAt{};

  bool operator==(const SoundPart&) const = default;
};

// What a daemon tells the others about crashes.
struct Evidence
{
  std::vector<EngineCrash> crashes;
  std::vector<QuarantinedPart> quarantined;
  std::vector<SoundPart> sound; // only observations of the daemon itself

  bool IsEmpty() const { return crashes.empty() && quarantined.empty() && sound.empty(); }
  bool operator==(const Evidence&) const = default;
};

// Finds prompt parts and requests that crash engines and keeps them away from the engines.
//
// All requests that an engine was answering break off when it crashes, so one crash suspects the
// parts of many requests. A request as a whole counts as a part of it. The part that explains most
// crashes without a whole answer in between is quarantined, and the crashes that it explains no
// longer count against other parts. Daemons share their evidence, since few requests of one kind
// pass through each of them.
//
// Performs no I/O. Not thread-safe. Times passed in must not decrease.
class PromptQuarantine
{
public:
  // Time from the quarantine of a part until requests with it are sent again.
  static constexpr Duration kDuration = Seconds(600);

  // Records a crash. Suspects of a crash that is known already are added to it.
  void OnCrash(const EngineCrash& aCrash, Time aNow);
  // Records a whole answer to a prompt with these parts.
  void OnAnswered(const std::vector<std::uint64_t>& aParts, Time aNow);
  // Records the evidence of another daemon.
  void Merge(const Evidence& aEvidence, Time aNow);
  // Quarantines a part on the word of another process, unless a quarantine of it is known already.
  void Quarantine(QuarantinedPart aPart, Time aNow);

  // Returns the end of the quarantine of a prompt with these parts, or nullopt if it may be sent.
  std::optional<Time> QuarantinedUntil(const std::vector<std::uint64_t>& aParts, Time aNow) const;
  // Returns whether a whole answer to a prompt with the part arrived lately.
  bool IsSound(std::uint64_t aPart, Time aNow) const;
  // Parts in quarantine, in order of their ids.
  std::vector<QuarantinedPart> Active(Time aNow) const;
  // Those of them that further evidence about known crashes will not change.
  std::vector<QuarantinedPart> Settled(Time aNow) const;
  // Returns what this daemon knows, or only what it has learned at aSince or later.
  Evidence ToShare(Time aNow, Time aSince = Time::min()) const;
  // Increases whenever a crash, a suspect or a quarantine becomes known.
  std::uint64_t Revision() const { return mRevision; }

private:
  struct Entry
  {
    Time since{};
    Time until{};
    Time learnedAt{};
    Time settledAt{}; // when all daemons have told what they know about the crashes
  };
  // How many of the unexplained crashes a part would explain.
  struct Weight
  {
    std::size_t moments = 0; // at which one or more of them happened
    std::size_t crashes = 0;

    auto operator<=>(const Weight&) const = default;
  };
  struct Candidate
  {
    std::uint64_t part = 0;
    std::uint32_t position = 0;
    Weight weight;
  };

  void Expire(Time aNow);
  void AddCrash(const EngineCrash& aCrash, Time aNow);
  bool IsInOtherCrash(const SuspectPart& aSuspect, const EngineCrash& aCrash) const;
  // Returns whether the crash can have one more suspect. A full one gives up a suspect of no other
  // crash for a suspect of another one, since only what comes again can be to blame.
  bool MakeRoom(EngineCrash& aCrash, const SuspectPart& aSuspect) const;
  // The candidates of one kind that explain most crashes.
  struct Group
  {
    bool (*isMember)(std::uint32_t aPosition) = nullptr;
    std::size_t threshold = 0;     // moments of crashes
    std::size_t thresholdTied = 0; // if several candidates explain as many
    Weight most{};
    std::size_t tied = 0;
  };

  // Decides anew which parts explain the crashes. Settled quarantines remain.
  void Evaluate(Time aNow);
  // Quarantines the parts that explain most of the remaining crashes. Returns whether there are
  // any.
  bool QuarantineNext(Time aNow, const std::unordered_map<std::uint64_t, Entry>& aBefore);
  std::vector<Candidate> Candidates(Time aNow) const;
  bool IsExplained(const EngineCrash& aCrash) const;
  std::optional<Time> AnsweredAt(std::uint64_t aPart) const;
  bool IsActive(std::uint64_t aPart, const Entry& aEntry, Time aNow) const;

  std::vector<EngineCrash> mCrashes;                // oldest first
  std::unordered_map<std::string, Time> mLearnedAt; // of the latest suspect, by engine process
  std::unordered_map<std::uint64_t, Entry> mQuarantined;
  std::unordered_map<std::uint64_t, Time> mAnswered;   // latest whole answer seen by any daemon
  std::unordered_map<std::uint64_t, Time> mOwnAnswers; // latest whole answer seen by this daemon
  std::uint64_t mRevision = 0;
};

} // namespace masticstep::quarantine
