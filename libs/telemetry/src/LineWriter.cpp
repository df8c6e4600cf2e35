#include "LineWriter.hpp"

#include <poll.h>
#include <unistd.h>

#include <chrono>

namespace masticstep::telemetry {

namespace {

// A pipe that can be written takes this many bytes at once without waiting (PIPE_BUF).
constexpr std::size_t kLongestLine = 4096;

Time Now()
{
  const std::chrono::steady_clock::duration n = std::chrono::steady_clock::now().time_since_epoch();
  return Time(std::chrono::duration_cast<Duration>(n));
}

std::string DroppedLine(std::uint64_t aCount)
{
  return "{\"level\":\"warning\",\"event\":\"log lines dropped\",\"count\":" +
         std::to_string(aCount) + "}\n";
}

} // namespace

LineWriter::LineWriter(int aHandle, double aLinesPerSecond)
  : mHandle(aHandle)
  , mBudget(aLinesPerSecond)
{
}

void LineWriter::SetHandle(int aHandle)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mHandle = aHandle;
}

bool LineWriter::TryWrite(const std::string& aLine)
{
  pollfd handle{ mHandle, POLLOUT, 0 };
  if (aLine.size() > kLongestLine || ::poll(&handle, 1, 0) != 1 ||
      (handle.revents & POLLOUT) == 0) {
    return false;
  }
  return ::write(mHandle, aLine.data(), aLine.size()) == static_cast<ssize_t>(aLine.size());
}

void LineWriter::Write(const std::string& aLine, bool aIsFailure)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (!mBudget.Admit(aIsFailure, Now())) {
    return;
  }
  const std::uint64_t dropped = mBudget.TakeDropped();
  if (dropped > 0 && !TryWrite(DroppedLine(dropped))) {
    mBudget.OnDropped(dropped + 1);
    return;
  }
  if (!TryWrite(aLine + "\n")) {
    mBudget.OnDropped(1);
  }
}

} // namespace masticstep::telemetry
