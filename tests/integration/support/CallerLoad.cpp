#include "support/CallerLoad.hpp"

#include <iterator>

namespace masticstep::integration {

namespace {

constexpr Duration kProgressLimit = Seconds(60);

} // namespace

CallerLoad::CallerLoad(Fleet& aFleet, std::size_t aCallers, std::uint32_t aTokens)
  : mFleet(&aFleet)
  , mTokens(aTokens)
{
  for (std::size_t i = 0; i < aFleet.DaemonCount(); ++i) {
    mReady.insert(i);
  }
  mThreads.emplace_back([this] { Balance(); });
  for (std::size_t i = 0; i < aCallers; ++i) {
    mThreads.emplace_back([this, i] { RunCaller(i); });
  }
}

CallerLoad::~CallerLoad()
{
  Stop();
}

void CallerLoad::Stop()
{
  mIsStopping = true;
  for (std::thread& thread : mThreads) {
    thread.join();
  }
  mThreads.clear();
}

void CallerLoad::Balance()
{
  while (!mIsStopping) {
    for (std::size_t i = 0; i < mFleet->DaemonCount(); ++i) {
      const bool isReady = mFleet->Daemon(i).IsReady();
      const std::lock_guard<std::mutex> lock(mMutex);
      if (isReady) {
        mReady.insert(i);
      } else {
        mReady.erase(i);
      }
    }
    PollPause();
  }
}

std::optional<std::size_t> CallerLoad::ChooseDaemon(std::size_t aTurn) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mReady.empty()) {
    return std::nullopt;
  }
  return *std::next(mReady.begin(), static_cast<std::ptrdiff_t>(aTurn % mReady.size()));
}

void CallerLoad::RunCaller(std::size_t aNumber)
{
  for (std::size_t count = 0; !mIsStopping; ++count) {
    const std::optional<std::size_t> daemon = ChooseDaemon(aNumber + count);
    if (!daemon) {
      PollPause();
      continue;
    }
    const std::string prompt = "sign " + std::to_string(aNumber) + " " + std::to_string(count);
    const standins::CompletionCall call = mFleet->Completion(*daemon, prompt, mTokens);
    const standins::CompletionResult result = standins::StreamCompletionBlocking(call);
    if (!result.IsWholeAnswerTo(call)) {
      AddFailure("host-" + std::to_string(*daemon) + ", " + prompt + ": status " +
                 std::to_string(result.status) + ", " + std::to_string(result.tokens) +
                 " tokens, " + result.error);
    }
    ++mFinished;
  }
}

void CallerLoad::AddFailure(const std::string& aText)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mFailures += aText + "\n";
}

std::string CallerLoad::Failures() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mFailures;
}

bool CallerLoad::WaitForMore(std::size_t aCount)
{
  const std::size_t target = mFinished + aCount;
  return WaitUntil(kProgressLimit,
                   [this, target] { return mFinished >= target || !Failures().empty(); }) &&
         Failures().empty();
}

BackgroundStream::BackgroundStream(standins::CompletionCall aCall)
  : mCall(std::move(aCall))
  , mThread([this] {
    mResult = standins::StreamCompletionBlocking(
      mCall, [this](std::uint32_t aTokens) { mTokens = aTokens; });
    mHasEnded = true;
  })
{
}

BackgroundStream::~BackgroundStream()
{
  if (mThread.joinable()) {
    mThread.join();
  }
}

bool BackgroundStream::WaitForTokens(std::uint32_t aCount)
{
  return WaitUntil(kProgressLimit, [this, aCount] { return mTokens >= aCount || mHasEnded; }) &&
         mTokens >= aCount;
}

const standins::CompletionResult& BackgroundStream::Result()
{
  if (mThread.joinable()) {
    mThread.join();
  }
  return mResult;
}

} // namespace masticstep::integration
