#pragma once

#include "LineBudget.hpp"

#include <mutex>
#include <string>

namespace masticstep::telemetry {

// Writes log lines to a file descriptor without ever waiting for its reader: a line that does not
// fit now is dropped, and the next one that is written says how many were.
class LineWriter
{
public:
  LineWriter(int aHandle, double aLinesPerSecond);

  // aLine has no line end.
  void Write(const std::string& aLine, bool aIsFailure);
  void SetHandle(int aHandle);

private:
  bool TryWrite(const std::string& aLine);

  std::mutex mMutex; // guards the members below
  int mHandle;
  LineBudget mBudget;
};

} // namespace masticstep::telemetry
