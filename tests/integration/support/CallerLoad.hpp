#pragma once

#include "support/Fleet.hpp"

#include <atomic>
#include <mutex>
#include <set>
#include <thread>

namespace masticstep::integration {

// Callers that stream without pause through the ready daemons, and a balancer that follows /readyz
// as the one in front of the daemons does.
class CallerLoad
{
public:
  CallerLoad(Fleet& aFleet, std::size_t aCallers, std::uint32_t aTokens);
  ~CallerLoad();
  CallerLoad(const CallerLoad&) = delete;
  CallerLoad& operator=(const CallerLoad&) = delete;

  // Waits until so many more requests have ended, or one has failed.
  bool WaitForMore(std::size_t aCount);
  // Ends the callers after their running requests.
  void Stop();
  std::size_t Finished() const { return mFinished.load(); }
  // Returns what went wrong with requests that did not get their whole answer; empty if none.
  std::string Failures() const;

private:
  void Balance();
  void RunCaller(std::size_t aNumber);
  std::optional<std::size_t> ChooseDaemon(std::size_t aTurn) const;
  void AddFailure(const std::string& aText);

  Fleet* mFleet;
  std::uint32_t mTokens;
  std::atomic<bool> mIsStopping{ false };
  std::atomic<std::size_t> mFinished{ 0 };
  mutable std::mutex mMutex;
  std::set<std::size_t> mReady;
  std::string mFailures;
  std::vector<std::thread> mThreads;
};

// A completion that streams on a thread of its own.
class BackgroundStream
{
public:
  explicit BackgroundStream(standins::CompletionCall aCall);
  ~BackgroundStream();
  BackgroundStream(const BackgroundStream&) = delete;
  BackgroundStream& operator=(const BackgroundStream&) = delete;

  bool WaitForTokens(std::uint32_t aCount);
  // Waits for the end of the stream.
  const standins::CompletionResult& Result();
  const standins::CompletionCall& Call() const { return mCall; }

private:
  standins::CompletionCall mCall;
  standins::CompletionResult mResult;
  std::atomic<std::uint32_t> mTokens{ 0 };
  std::atomic<bool> mHasEnded{ false };
  std::thread mThread;
};

} // namespace masticstep::integration
