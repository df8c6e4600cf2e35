#pragma once

#include "masticstep/base/Time.hpp"

#include <sys/types.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace masticstep::integration {

// A child process with its output in files. Killed and reaped by the destructor.
class Process
{
public:
  // Starts build/bin/PROGRAM. Output goes to FILE.out and FILE.err. Throws std::runtime_error if it
  // cannot be started.
  Process(const std::string& aProgram, const std::vector<std::string>& aArguments,
          std::string aFile);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int aSignal);
  // Returns the exit code, or 128 + the signal that ended it; nothing if it still runs after the
  // limit.
  std::optional<int> WaitForEnd(Duration aLimit);
  bool IsRunning();
  pid_t Id() const { return mPid; }
  // Returns the first line of its standard output, or an empty text if none comes in time.
  std::string FirstLine(Duration aLimit);
  // Returns all of its standard output, to which daemons write their logs.
  std::string OutputText() const;
  std::string ErrorText() const;

private:
  std::string mFile;
  pid_t mPid = -1;
  std::optional<int> mExitCode;
};

// Polls until the condition holds; returns whether it did within the limit. Limits are generous,
// because they only bound how long a failing test takes.
template <class Condition>
bool WaitUntil(Duration aLimit, Condition&& aCondition);

// Suspends the thread between two looks at a condition.
void PollPause();
Time ClockNow();

template <class Condition>
bool WaitUntil(Duration aLimit, Condition&& aCondition)
{
  const Time end = ClockNow() + aLimit;
  while (!aCondition()) {
    if (ClockNow() >= end) {
      return false;
    }
    PollPause();
  }
  return true;
}

} // namespace masticstep::integration
