#include "masticstep/duties/UsageReporter.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::duties {

using platform::PlatformReply;
using platform::PlatformStatus;

namespace {

// Counts of this many windows are sent to a new holder again.
constexpr WindowNumber kRepeatedWindows = 2;
// Reports that the store keeps.
constexpr std::size_t kKeptReports = 12;
constexpr Duration kRetryPause = Milliseconds(600); // after a call that did not succeed

} // namespace

UsageReporter::UsageReporter(UsageOptions aOptions)
  : mOptions(std::move(aOptions))
  , mWindows(mOptions.windowLength)
{
}

void UsageReporter::BeginTerm(UnixTime aNow)
{
  const WindowNumber first = mWindows.At(aNow - mOptions.collectingTime) - kRepeatedWindows;
  mFirstWindow = std::max(mFirstWindow, first);
  mHasRead = false;
  mAccepted.clear();
  mIsSuperseded = false;
}

UsageReporter::Actions UsageReporter::OnTime(const UsageLedger& aLedger, UnixTime aNow)
{
  Actions actions;
  if (!mIsRequestOutstanding && !mHasRead) {
    mIsRequestOutstanding = true;
    actions.request =
      platform::PlatformRequest{ ++mRequestNumber, platform::ReadRequest{ mOptions.key } };
  } else if (!mIsRequestOutstanding) {
    actions.request = FixReports(aLedger, aNow);
    mIsRequestOutstanding = actions.request.has_value();
  }
  if (mHasRead && !mIsSendOutstanding && !mIsSuperseded && aNow >= mNextSend) {
    actions.send = NextReport(aNow);
  }
  if (actions.send) {
    mIsSendOutstanding = true;
    mSent[actions.send->window] = actions.send->counts;
  }
  return actions;
}

std::optional<platform::PlatformRequest> UsageReporter::FixReports(const UsageLedger& aLedger,
                                                                   UnixTime aNow)
{
  FixedReports reports = mFixed;
  reports.storeEra = mEra.value_or(0);
  // A restored store may have lost reports that were sent; they must stay what they were.
  for (const auto& [window, counts] : mSent) {
    reports.byWindow.insert_or_assign(window, counts);
  }
  const WindowNumber oldest = mWindows.At(aNow - mOptions.reportingTime);
  for (WindowNumber window = std::max({ mFirstWindow, reports.firstWindow, oldest });
       mWindows.EndOf(window) + mOptions.collectingTime <= aNow; ++window) {
    if (aLedger.Has(window)) {
      reports.byWindow.try_emplace(window, aLedger.Total(window));
    }
  }
  while (reports.byWindow.size() > kKeptReports) {
    reports.byWindow.erase(reports.byWindow.begin());
  }
  if (reports == mFixed) {
    return std::nullopt;
  }
  mWriting = std::move(reports);
  return platform::PlatformRequest{ ++mRequestNumber,
                                    platform::ConditionalWrite{ mOptions.key, mVersion,
                                                                EncodeFixedReports(mWriting) } };
}

std::optional<UsageReport> UsageReporter::NextReport(UnixTime aNow) const
{
  for (const auto& [window, counts] : mFixed.byWindow) {
    if (!mAccepted.contains(window) && mWindows.EndOf(window) + mOptions.reportingTime > aNow) {
      return UsageReport{ window, counts };
    }
  }
  return std::nullopt;
}

void UsageReporter::OnPlatformReply(const PlatformReply& aReply, UnixTime aNow)
{
  if (!mIsRequestOutstanding || aReply.number != mRequestNumber) {
    return;
  }
  mIsRequestOutstanding = false;
  const bool isOfStore =
    aReply.status != PlatformStatus::Unknown && aReply.status != PlatformStatus::NotSent;
  if (isOfStore && mEra && aReply.era > *mEra) {
    SkipEndedWindows(aNow);
  }
  if (isOfStore) {
    mEra = std::max(mEra.value_or(0), aReply.era);
  }
  if (!mHasRead) {
    OnRead(aReply, aNow);
    return;
  }
  if (aReply.status == PlatformStatus::Done) {
    const WindowNumber firstWindow = std::max(mWriting.firstWindow, mFixed.firstWindow);
    mFixed = mWriting;
    mFixed.firstWindow = firstWindow;
    mVersion = aReply.version;
  } else if (aReply.status == PlatformStatus::Conflict ||
             aReply.status == PlatformStatus::Unknown) {
    mHasRead = false;
  }
}

void UsageReporter::OnRead(const PlatformReply& aReply, UnixTime aNow)
{
  if (aReply.status != PlatformStatus::Done && aReply.status != PlatformStatus::NotFound) {
    return;
  }
  const bool isFound = aReply.status == PlatformStatus::Done;
  const Result<FixedReports, std::string> stored =
    isFound ? DecodeFixedReports(aReply.body) : FixedReports{};
  mHasRead = true;
  mVersion = isFound ? aReply.version : std::nullopt;
  // A damaged object is written anew.
  mFixed = stored.value_or(FixedReports{});
  // This process may not have seen the store before it was restored, so only the era in the object
  // tells whether it lacks reports. Without an object none was ever written in this era.
  if (!stored || mFixed.storeEra < *mEra) {
    SkipEndedWindows(aNow);
  }
}

void UsageReporter::SkipEndedWindows(UnixTime aNow)
{
  mFixed.firstWindow = std::max(mFixed.firstWindow, mWindows.At(aNow));
}

void UsageReporter::OnSent(WindowNumber aWindow, SendOutcome aOutcome, UnixTime aNow)
{
  mIsSendOutstanding = false;
  switch (aOutcome) {
    case SendOutcome::Accepted:
      ++mSentCount;
      mAccepted.insert(aWindow);
      break;
    case SendOutcome::Invalid:
      mAccepted.insert(aWindow);
      break;
    case SendOutcome::Superseded:
      mIsSuperseded = true;
      break;
    case SendOutcome::Unknown:
      mNextSend = aNow + kRetryPause;
      break;
  }
  // Kept for the time in which the store may lose them.
  while (mSent.size() > kKeptReports) {
    mSent.erase(mSent.begin());
  }
}

} // namespace masticstep::duties
