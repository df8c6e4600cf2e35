#include "masticstep/quarantine/PromptQuarantine.hpp"

#include <algorithm>
#include <array>
#include <map>

namespace masticstep::quarantine {

namespace {

// Crashes at different moments after which a part is quarantined.
constexpr std::size_t kCrashesToQuarantine = 3;
// The same for parts that cannot be told apart, and for the first part of prompts, which many
// other requests share.
constexpr std::size_t kCrashesToQuarantineTied = 4;
constexpr std::size_t kCrashesToQuarantineFirst = 5;
// A failure of a host or a link ends several engines at once, so crashes at the same moment count
// once.
constexpr Duration kSameMoment = Milliseconds(50);
// Time in which evidence reaches all daemons.
constexpr Duration kSettleTime = Milliseconds(1500);
constexpr Duration kCrashLifetime = Seconds(120);
constexpr std::size_t kMaximumCrashes = 32;
constexpr std::size_t kMaximumSuspects = 64; // for each crash
// Parts that were answered this recently are no suspects of a crash.
constexpr Duration kSoundLifetime = Seconds(3);
constexpr std::size_t kMaximumAnswered = 8192;

bool IsRequestOfCaller(std::uint32_t aPosition)
{
  return aPosition == kRequestOfCaller;
}

bool IsRequest(std::uint32_t aPosition)
{
  return aPosition == kRequest;
}

bool IsFirstPart(std::uint32_t aPosition)
{
  return aPosition == 0;
}

bool IsLaterPart(std::uint32_t aPosition)
{
  return aPosition > 0 && aPosition < kRequestOfCaller;
}

void Limit(std::unordered_map<std::uint64_t, Time>& aTimes, Time aNow)
{
  if (aTimes.size() > kMaximumAnswered) {
    std::erase_if(aTimes,
                  [aNow](const auto& aItem) { return aItem.second + kSoundLifetime < aNow; });
  }
  if (aTimes.size() > kMaximumAnswered) {
    aTimes.clear();
  }
}

} // namespace

std::optional<Time> PromptQuarantine::AnsweredAt(std::uint64_t aPart) const
{
  const auto found = mAnswered.find(aPart);
  return found == mAnswered.end() ? std::nullopt : std::optional<Time>(found->second);
}

bool PromptQuarantine::IsSound(std::uint64_t aPart, Time aNow) const
{
  const std::optional<Time> answered = AnsweredAt(aPart);
  return answered && *answered + kSoundLifetime >= aNow;
}

// A whole answer after the begin of a quarantine shows that the part crashes no engine.
bool PromptQuarantine::IsActive(std::uint64_t aPart, const Entry& aEntry, Time aNow) const
{
  const std::optional<Time> answered = AnsweredAt(aPart);
  return aNow < aEntry.until && (!answered || *answered <= aEntry.since);
}

void PromptQuarantine::Expire(Time aNow)
{
  std::erase_if(mCrashes,
                [aNow](const EngineCrash& aCrash) { return aCrash.at + kCrashLifetime < aNow; });
  std::erase_if(mLearnedAt,
                [aNow](const auto& aItem) { return aItem.second + kCrashLifetime < aNow; });
  std::erase_if(mQuarantined, [aNow](const auto& aItem) { return aItem.second.until <= aNow; });
}

void PromptQuarantine::AddCrash(const EngineCrash& aCrash, Time aNow)
{
  if (aCrash.suspects.empty()) {
    return;
  }
  std::vector<EngineCrash>::iterator it =
    std::find_if(mCrashes.begin(), mCrashes.end(),
                 [&aCrash](const EngineCrash& aOther) { return aOther.process == aCrash.process; });
  if (it == mCrashes.end()) {
    if (mCrashes.size() >= kMaximumCrashes) {
      mCrashes.erase(mCrashes.begin());
    }
    it = mCrashes.insert(mCrashes.end(), EngineCrash{ aCrash.process, aCrash.at, {} });
  }
  for (const SuspectPart& suspect : aCrash.suspects) {
    const bool isKnown =
      std::any_of(it->suspects.begin(), it->suspects.end(),
                  [&suspect](const SuspectPart& aOther) { return aOther.id == suspect.id; });
    if (!isKnown && MakeRoom(*it, suspect)) {
      it->suspects.push_back(suspect);
      mLearnedAt[aCrash.process] = aNow;
      ++mRevision;
    }
  }
}

bool PromptQuarantine::IsInOtherCrash(const SuspectPart& aSuspect, const EngineCrash& aCrash) const
{
  return std::any_of(mCrashes.begin(), mCrashes.end(), [&](const EngineCrash& aOther) {
    return aOther.process != aCrash.process &&
           std::any_of(aOther.suspects.begin(), aOther.suspects.end(),
                       [&aSuspect](const SuspectPart& aPart) { return aPart.id == aSuspect.id; });
  });
}

bool PromptQuarantine::MakeRoom(EngineCrash& aCrash, const SuspectPart& aSuspect) const
{
  if (aCrash.suspects.size() < kMaximumSuspects) {
    return true;
  }
  if (!IsInOtherCrash(aSuspect, aCrash)) {
    return false;
  }
  const auto single = std::find_if(
    aCrash.suspects.begin(), aCrash.suspects.end(),
    [this, &aCrash](const SuspectPart& aPart) { return !IsInOtherCrash(aPart, aCrash); });
  if (single == aCrash.suspects.end()) {
    return false;
  }
  aCrash.suspects.erase(single);
  return true;
}

void PromptQuarantine::OnCrash(const EngineCrash& aCrash, Time aNow)
{
  Expire(aNow);
  AddCrash(aCrash, aNow);
  Evaluate(aNow);
}

void PromptQuarantine::OnAnswered(const std::vector<std::uint64_t>& aParts, Time aNow)
{
  for (const std::uint64_t part : aParts) {
    mAnswered[part] = aNow;
    mOwnAnswers[part] = aNow;
  }
  Limit(mAnswered, aNow);
  Limit(mOwnAnswers, aNow);
}

void PromptQuarantine::Quarantine(QuarantinedPart aPart, Time aNow)
{
  // The time of the latest answer decides, as for a quarantine that begins now.
  const Time since = aPart.until - kDuration;
  const Entry entry{ since, aPart.until, aNow, since };
  mRevision += mQuarantined.try_emplace(aPart.part, entry).second ? 1 : 0;
}

void PromptQuarantine::Merge(const Evidence& aEvidence, Time aNow)
{
  Expire(aNow);
  for (const SoundPart& sound : aEvidence.sound) {
    Time& answered = mAnswered.try_emplace(sound.part, sound.answeredAt).first->second;
    answered = std::max(answered, sound.answeredAt);
  }
  Limit(mAnswered, aNow);
  for (const QuarantinedPart& part : aEvidence.quarantined) {
    Quarantine(part, aNow);
  }
  for (const EngineCrash& crash : aEvidence.crashes) {
    AddCrash(crash, aNow);
  }
  Evaluate(aNow);
}

bool PromptQuarantine::IsExplained(const EngineCrash& aCrash) const
{
  return std::any_of(aCrash.suspects.begin(), aCrash.suspects.end(),
                     [this](const SuspectPart& aPart) { return mQuarantined.contains(aPart.id); });
}

std::vector<PromptQuarantine::Candidate> PromptQuarantine::Candidates(Time aNow) const
{
  struct Count
  {
    Candidate candidate;
    std::vector<Time> moments;
  };
  std::map<std::uint64_t, Count> counts;
  for (const EngineCrash& crash : mCrashes) {
    if (IsExplained(crash)) {
      continue;
    }
    for (const SuspectPart& suspect : crash.suspects) {
      const std::optional<Time> answered = AnsweredAt(suspect.id);
      const bool isSuspect = !IsSound(suspect.id, aNow) && (!answered || *answered < crash.at);
      if (isSuspect) {
        Count& count = counts[suspect.id];
        count.candidate = { suspect.id, suspect.position, {} };
        count.moments.push_back(crash.at);
      }
    }
  }
  std::vector<Candidate> candidates;
  for (auto& [part, count] : counts) {
    std::sort(count.moments.begin(), count.moments.end());
    count.candidate.weight.crashes = count.moments.size();
    // A caller's request runs on one engine at a time, so each of its crashes is one by itself.
    const bool areApart = IsRequestOfCaller(count.candidate.position);
    Time latest = Time::min();
    for (const Time moment : count.moments) {
      if (areApart || latest == Time::min() || moment >= latest + kSameMoment) {
        ++count.candidate.weight.moments;
        latest = moment;
      }
    }
    candidates.push_back(count.candidate);
  }
  return candidates;
}

void PromptQuarantine::Evaluate(Time aNow)
{
  // The daemons learn of a crash in pieces, each with the parts that one of them had sent to the
  // engine. A part that seemed to explain the first pieces is freed if a better one turns up.
  const std::unordered_map<std::uint64_t, Entry> before = mQuarantined;
  std::erase_if(mQuarantined, [aNow](const auto& aItem) { return aItem.second.settledAt > aNow; });
  bool mayContinue = true;
  while (mayContinue) {
    mayContinue = QuarantineNext(aNow, before);
  }
}

bool PromptQuarantine::QuarantineNext(Time aNow,
                                      const std::unordered_map<std::uint64_t, Entry>& aBefore)
{
  // The narrowest explanation comes first: a request that crashes engines explains as many crashes
  // as the parts that it shares with others.
  std::array<Group, 4> groups{
    Group{ IsRequestOfCaller, kCrashesToQuarantine, kCrashesToQuarantineTied },
    Group{ IsRequest, kCrashesToQuarantine, kCrashesToQuarantineTied },
    Group{ IsLaterPart, kCrashesToQuarantine, kCrashesToQuarantineTied },
    Group{ IsFirstPart, kCrashesToQuarantineFirst, kCrashesToQuarantineFirst },
  };
  const std::vector<Candidate> candidates = Candidates(aNow);
  const Group* best = nullptr;
  for (Group& group : groups) {
    for (const Candidate& candidate : candidates) {
      if (!group.isMember(candidate.position) || candidate.weight < group.most) {
        continue;
      }
      group.tied = candidate.weight == group.most ? group.tied + 1 : 1;
      group.most = candidate.weight;
    }
    const std::size_t threshold = group.tied > 1 ? group.thresholdTied : group.threshold;
    const bool explainsMore = best == nullptr || group.most > best->most;
    // The first part is blamed only if nothing else can be.
    const bool mayReplace = best == nullptr || group.isMember != IsFirstPart;
    if (group.most.moments >= threshold && explainsMore && mayReplace) {
      best = &group;
    }
  }
  if (best == nullptr) {
    return false;
  }
  for (const Candidate& candidate : candidates) {
    if (best->isMember(candidate.position) && candidate.weight == best->most) {
      const auto known = aBefore.find(candidate.part);
      const Time settledAt = aNow + kSettleTime;
      const Entry entry{ aNow, aNow + kDuration, settledAt, settledAt };
      mQuarantined[candidate.part] = known == aBefore.end() ? entry : known->second;
      mRevision += known == aBefore.end() ? 1 : 0;
    }
  }
  return true;
}

std::optional<Time> PromptQuarantine::QuarantinedUntil(const std::vector<std::uint64_t>& aParts,
                                                       Time aNow) const
{
  std::optional<Time> until;
  for (const std::uint64_t part : aParts) {
    const auto found = mQuarantined.find(part);
    if (found != mQuarantined.end() && IsActive(part, found->second, aNow)) {
      until = std::max(until.value_or(found->second.until), found->second.until);
    }
  }
  return until;
}

std::vector<QuarantinedPart> PromptQuarantine::Active(Time aNow) const
{
  std::vector<QuarantinedPart> parts;
  for (const auto& [part, entry] : mQuarantined) {
    if (IsActive(part, entry, aNow)) {
      parts.push_back({ part, entry.until });
    }
  }
  std::sort(parts.begin(), parts.end());
  return parts;
}

std::vector<QuarantinedPart> PromptQuarantine::Settled(Time aNow) const
{
  std::vector<QuarantinedPart> parts = Active(aNow);
  std::erase_if(parts, [this, aNow](const QuarantinedPart& aPart) {
    return mQuarantined.at(aPart.part).settledAt > aNow;
  });
  return parts;
}

Evidence PromptQuarantine::ToShare(Time aNow, Time aSince) const
{
  Evidence evidence;
  std::map<std::uint64_t, Time> sound;
  const auto addSound = [this, &sound](std::uint64_t aPart) {
    const auto found = mOwnAnswers.find(aPart);
    if (found != mOwnAnswers.end()) {
      sound[aPart] = found->second;
    }
  };
  for (const EngineCrash& crash : mCrashes) {
    const auto learned = mLearnedAt.find(crash.process);
    const bool isNew = learned != mLearnedAt.end() && learned->second >= aSince;
    if (!isNew || crash.at + kCrashLifetime < aNow) {
      continue;
    }
    evidence.crashes.push_back(crash);
    for (const SuspectPart& suspect : crash.suspects) {
      addSound(suspect.id);
    }
  }
  for (const QuarantinedPart& part : Settled(aNow)) {
    if (mQuarantined.at(part.part).learnedAt >= aSince) {
      evidence.quarantined.push_back(part);
      addSound(part.part);
    }
  }
  // An answer after the begin of a quarantine has ended it; the others must learn of that.
  for (const auto& [part, entry] : mQuarantined) {
    if (!IsActive(part, entry, aNow)) {
      addSound(part);
    }
  }
  for (const auto& [part, at] : sound) {
    evidence.sound.push_back({ part, at });
  }
  return evidence;
}

} // namespace masticstep::quarantine
