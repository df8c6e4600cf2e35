#pragma once

#include "masticstep/duties/UsageReport.hpp"
#include "masticstep/platform/PlatformReply.hpp"
#include "masticstep/platform/PlatformRequest.hpp"

#include <optional>
#include <set>

namespace masticstep::duties {

struct UsageOptions
{
  platform::ObjectKey key; // of the object with the fixed reports
  Duration windowLength = Seconds(5);
  Duration collectingTime = Seconds(4); // from the end of a window until all counts have arrived
  Duration reportingTime = Seconds(30); // from the end of a window until its report is given up
};

// Outcome of a call to the platform.
enum class SendOutcome : std::uint8_t
{
  Accepted,
  Superseded, // the platform has seen a newer holder
  Invalid,    // the platform will never accept this report
  Unknown     // no answer, or not now
};

// Reports the usage of each window to the platform once, for the daemon that holds the duty. What
// is reported is written to the store before it is sent for the first time, so that a successor
// sends exactly the same or nothing. The store may be restored from an older copy, which lacks
// reports that were sent; windows that ended before a holder noticed are then not reported anew.
class UsageReporter
{
public:
  // What the holder is to do next; at most one request and one call are outstanding.
  struct Actions
  {
    std::optional<platform::PlatformRequest> request;
    std::optional<UsageReport> send;
  };

  explicit UsageReporter(UsageOptions aOptions);

  // Begins a new term as the holder, from which on windows are reported whose counts this daemon
  // may know: it gets those of the latest windows again.
  void BeginTerm(UnixTime aNow);
  Actions OnTime(const UsageLedger& aLedger, UnixTime aNow);
  void OnPlatformReply(const platform::PlatformReply& aReply, UnixTime aNow);
  void OnSent(WindowNumber aWindow, SendOutcome aOutcome, UnixTime aNow);
  std::size_t SentCount() const { return mSentCount; }
  // Returns the first window whose report the store cannot have lost; earlier ones that it lacks
  // are not reported.
  WindowNumber FirstKnownWindow() const { return mFixed.firstWindow; }

private:
  std::optional<platform::PlatformRequest> FixReports(const UsageLedger& aLedger, UnixTime aNow);
  std::optional<UsageReport> NextReport(UnixTime aNow) const;
  void OnRead(const platform::PlatformReply& aReply, UnixTime aNow);
  // Leaves the windows that have ended to a predecessor whose reports the store may have lost.
  void SkipEndedWindows(UnixTime aNow);

  const UsageOptions mOptions;
  const UsageWindows mWindows;
  WindowNumber mFirstWindow = 0; // earlier ones are left to the predecessor
  std::optional<platform::Version> mVersion;
  bool mHasRead = false;
  std::optional<std::uint64_t> mEra; // of the store
  FixedReports mFixed;               // as the store is known to hold them
  FixedReports mWriting;             // content of the write under way
  // Were sent at least once, and may have been accepted.
  std::map<WindowNumber, AccountCounts> mSent;
  std::set<WindowNumber> mAccepted; // in this term
  bool mIsSuperseded = false;
  std::uint64_t mRequestNumber = 0;
  bool mIsRequestOutstanding = false;
  bool mIsSendOutstanding = false;
  UnixTime mNextSend{};
  std::size_t mSentCount = 0;
};

} // namespace masticstep::duties
