#include "QuarantineExchange.hpp"

#include "StoreCall.hpp"
#include "masticstep/base/ObjectReader.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/Sleep.hpp"
#include "masticstep/telemetry/Log.hpp"
#include "masticstep/wire/CrashReport.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <utility>

namespace masticstep::relay {

using platform::PlatformReply;
using platform::PlatformStatus;
using quarantine::Evidence;
using quarantine::QuarantinedPart;
using telemetry::Level;

namespace {

// Key prefix of the quarantined parts in the store.
const std::string kPartPrefix = "masticstep-quarantined-parts/";
constexpr Duration kSendInterval = Milliseconds(200);
// A daemon passes new evidence on for this long; it reaches each of hundreds of daemons on several
// ways, since datagrams may be lost.
constexpr Duration kSpreadTime = Milliseconds(1000);
constexpr std::size_t kReceivers = 3; // of the own data centre
// Brings daemons up to date that were away.
constexpr Duration kRepeatInterval = Seconds(5);
constexpr Duration kStoreInterval = Milliseconds(1000);
constexpr int kHexadecimal = 16;
// Up to the year 2100, so that differences cannot overflow.
constexpr IntegerRange kUnixMilliseconds{ 0, 4102444800000 };

std::string ToHex(std::uint64_t aPart)
{
  char text[17];
  std::snprintf(text, sizeof(text), "%llx", static_cast<unsigned long long>(aPart));
  return text;
}

std::optional<std::uint64_t> PartOf(const platform::ObjectKey& aKey)
{
  const std::string text = aKey.Text().substr(std::min(kPartPrefix.size(), aKey.Text().size()));
  std::uint64_t part = 0;
  const std::from_chars_result result =
    std::from_chars(text.data(), text.data() + text.size(), part, kHexadecimal);
  const bool isComplete = result.ec == std::errc() && result.ptr == text.data() + text.size();
  return isComplete ? std::optional<std::uint64_t>(part) : std::nullopt;
}

// Entries hold the end of the quarantine by the time of day, since hosts share no other clock.
std::int64_t UnixMilliseconds()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::string EntryBody(Duration aLeft)
{
  return boost::json::serialize(
    boost::json::object{ { "until_ms", UnixMilliseconds() + aLeft / Milliseconds(1) } });
}

// Returns the time left; that of a new quarantine if the entry does not tell.
Duration TimeLeft(const platform::ObjectChange& aEntry)
{
  Faults faults;
  const std::optional<boost::json::object> object =
    ParseObject(aEntry.body, aEntry.key.Text(), faults);
  if (!object) {
    return quarantine::PromptQuarantine::kDuration;
  }
  ObjectReader reader(*object, aEntry.key.Text(), "$", faults);
  const std::int64_t until = reader.RequiredInteger("until_ms", kUnixMilliseconds);
  if (!faults.empty()) {
    return quarantine::PromptQuarantine::kDuration;
  }
  return std::min(Duration(Milliseconds(until - UnixMilliseconds())),
                  quarantine::PromptQuarantine::kDuration);
}

wire::CrashReport ToWire(const Evidence& aEvidence, Time aNow)
{
  wire::CrashReport report;
  for (const quarantine::EngineCrash& crash : aEvidence.crashes) {
    wire::ReportedCrash reported{ crash.process, aNow - crash.at, {} };
    for (const quarantine::SuspectPart& suspect : crash.suspects) {
      reported.suspects.push_back({ suspect.id, suspect.position });
    }
    report.crashes.push_back(std::move(reported));
  }
  for (const QuarantinedPart& part : aEvidence.quarantined) {
    report.quarantined.push_back({ part.part, part.until - aNow });
  }
  for (const quarantine::SoundPart& part : aEvidence.sound) {
    report.sound.push_back({ part.part, aNow - part.answeredAt });
  }
  return report;
}

Evidence FromWire(const wire::CrashReport& aReport, Time aNow)
{
  Evidence evidence;
  for (const wire::ReportedCrash& reported : aReport.crashes) {
    quarantine::EngineCrash crash{ reported.process, aNow - reported.age, {} };
    for (const wire::CrashSuspect& suspect : reported.suspects) {
      crash.suspects.push_back({ suspect.part, suspect.position });
    }
    evidence.crashes.push_back(std::move(crash));
  }
  for (const wire::PartTime& part : aReport.quarantined) {
    evidence.quarantined.push_back({ part.part, aNow + part.time });
  }
  for (const wire::PartTime& part : aReport.sound) {
    evidence.sound.push_back({ part.part, aNow - part.time });
  }
  return evidence;
}

} // namespace

QuarantineExchange::QuarantineExchange(std::shared_ptr<RelayState> aState,
                                       std::shared_ptr<WorkReportChannel> aChannel,
                                       std::shared_ptr<platform::ObjectStore> aStore,
                                       std::uint64_t aSeed)
  : mState(std::move(aState))
  , mChannel(std::move(aChannel))
  , mStore(std::move(aStore))
  , mRandom(aSeed)
{
}

void QuarantineExchange::Apply(std::string_view aDatagram)
{
  const Result<wire::CrashReport, wire::WireError> report = wire::DecodeCrashReport(aDatagram);
  if (!report) {
    telemetry::Log(Level::Warning, "crash report rejected",
                   { { "problem", report.error().message } });
    return;
  }
  const Time now = net::Now();
  mState->quarantine.Merge(FromWire(*report, now), now);
}

net::Task<void> QuarantineExchange::SendEvidence()
{
  const std::shared_ptr<QuarantineExchange> self = shared_from_this();
  std::uint64_t revision = 0;
  Time newest{}; // when the evidence changed
  Time repeatedAt = net::Now();
  while (true) {
    co_await net::Sleep(kSendInterval);
    const Time now = net::Now();
    LogChanges(now);
    if (revision != mState->quarantine.Revision()) {
      revision = mState->quarantine.Revision();
      newest = now;
    }
    if (revision != 0 && now < newest + kSpreadTime) {
      const quarantine::Evidence fresh = mState->quarantine.ToShare(now, now - kSpreadTime);
      Send(fresh, { kReceivers, 1 }, now);
    } else if (now >= repeatedAt + kRepeatInterval) {
      // About one daemon of a data centre tells one of another.
      const std::size_t peers = mState->dispatcher.ActivePeers(now).size();
      const std::size_t remote = mRandom.Below(peers + 1) == 0 ? 1 : 0;
      Send(mState->quarantine.ToShare(now), { 1, remote }, now);
      repeatedAt = now;
    }
  }
}

void QuarantineExchange::Send(const Evidence& aEvidence, Receivers aReceivers, Time aNow)
{
  if (mChannel && !aEvidence.IsEmpty()) {
    mChannel->SendToFleet(wire::EncodeCrashReport(ToWire(aEvidence, aNow)), aReceivers, mRandom);
  }
}

void QuarantineExchange::LogChanges(Time aNow)
{
  std::vector<QuarantinedPart> active = mState->quarantine.Active(aNow);
  const auto has = [](const std::vector<QuarantinedPart>& aParts, std::uint64_t aPart) {
    return std::any_of(aParts.begin(), aParts.end(),
                       [aPart](const QuarantinedPart& aOther) { return aOther.part == aPart; });
  };
  for (const QuarantinedPart& part : active) {
    if (!has(mLogged, part.part)) {
      telemetry::Log(Level::Warning, "prompt part quarantined",
                     { { "part", ToHex(part.part) }, { "seconds", ToSeconds(part.until - aNow) } });
    }
  }
  for (const QuarantinedPart& part : mLogged) {
    if (!has(active, part.part)) {
      telemetry::Log(Level::Info, "quarantine ended", { { "part", ToHex(part.part) } });
    }
  }
  mState->metrics.GetGauge({ "masticstep_quarantined_parts", {}, {} })
    ->Set(static_cast<std::int64_t>(active.size()));
  mLogged = std::move(active);
}

net::Task<void> QuarantineExchange::SyncWithStore()
{
  const std::shared_ptr<QuarantineExchange> self = shared_from_this();
  bool isLoaded = false;
  while (true) {
    // A restored store may have lost entries, and show those of quarantines that have ended.
    const bool isOutdated = mState->storeSync.storeEra > mStoredEra;
    if (!isLoaded) {
      isLoaded = co_await ReadEntries();
      QuarantineEntries();
    } else if (mState->storeSync.isStorePoller) {
      // One daemon of each data centre keeps the entries for all.
      const bool isCurrent = !isOutdated || co_await ReadEntries();
      if (isCurrent) {
        co_await Store(net::Now());
      }
    }
    co_await net::Sleep(kStoreInterval);
  }
}

net::Task<bool> QuarantineExchange::ReadEntries()
{
  platform::PlatformCall list = platform::ListRequest{ kPartPrefix, {} };
  const PlatformReply listed =
    co_await CallStore(*mStore, mState->executor, mNextCall++, std::move(list));
  if (listed.status != PlatformStatus::Done) {
    co_return false;
  }
  const Time now = net::Now();
  mStoredEra = listed.era;
  mStored.clear();
  mRead.clear();
  for (const platform::ObjectChange& entry : listed.items) {
    const std::optional<std::uint64_t> part = PartOf(entry.key);
    if (!part) {
      telemetry::Log(Level::Warning, "entry of a quarantined part ignored",
                     { { "key", entry.key.Text() } });
      continue;
    }
    mStored[*part] = entry.version;
    mRead.push_back({ *part, now + TimeLeft(entry) });
  }
  co_return true;
}

void QuarantineExchange::QuarantineEntries()
{
  for (const QuarantinedPart& part : std::exchange(mRead, {})) {
    mState->quarantine.Quarantine(part, net::Now());
  }
}

net::Task<void> QuarantineExchange::Store(Time aNow)
{
  const std::vector<QuarantinedPart> settled = mState->quarantine.Settled(aNow);
  for (const QuarantinedPart& part : settled) {
    if (mStored.contains(part.part)) {
      continue;
    }
    platform::PlatformCall write =
      platform::ConditionalWrite{ platform::ObjectKey{ kPartPrefix + ToHex(part.part) },
                                  std::nullopt, EntryBody(part.until - aNow) };
    const PlatformReply written =
      co_await CallStore(*mStore, mState->executor, mNextCall++, std::move(write));
    // A conflict means that the daemon of another data centre was first.
    if (written.status == PlatformStatus::Done || written.status == PlatformStatus::Conflict) {
      mStored[part.part] = written.version.value_or(platform::Version{});
    }
  }
  std::vector<std::pair<std::uint64_t, platform::Version>> ended;
  for (const auto& [part, version] : mStored) {
    const bool isSettled =
      std::any_of(settled.begin(), settled.end(),
                  [part = part](const QuarantinedPart& aOther) { return aOther.part == part; });
    if (!isSettled) {
      ended.emplace_back(part, version);
    }
  }
  for (const auto& [part, version] : ended) {
    platform::PlatformCall remove =
      platform::ConditionalDelete{ platform::ObjectKey{ kPartPrefix + ToHex(part) }, version };
    const PlatformReply removed =
      co_await CallStore(*mStore, mState->executor, mNextCall++, std::move(remove));
    if (removed.status == PlatformStatus::Done || removed.status == PlatformStatus::NotFound ||
        removed.status == PlatformStatus::Conflict) {
      mStored.erase(part);
    }
  }
}

} // namespace masticstep::relay
