#include "LineWriter.hpp"
#include "masticstep/testing/Test.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

using namespace masticstep;
using namespace masticstep::telemetry;

namespace {

// Reads what lies in a pipe.
std::string Drain(int aHandle)
{
  std::string text;
  std::array<char, 65536> buf{};
  fcntl(aHandle, F_SETFL, O_NONBLOCK);
  ssize_t n = read(aHandle, buf.data(), buf.size());
  while (n > 0) {
    text.append(buf.data(), static_cast<std::size_t>(n));
    n = read(aHandle, buf.data(), buf.size());
  }
  return text;
}

} // namespace

// Guards against requests that stall because nobody reads the log.
MASTICSTEP_TEST("a stalled reader of the log stops nobody and learns what it missed",
                "[telemetry][log][failure]")
{
  std::array<int, 2> ends{};
  CHECK_EQUAL(0, pipe(ends.data()));
  LineWriter writer(ends[1], 1e9);
  const std::string line(1000, 'x');
  for (int i = 0; i < 500; ++i) {
    writer.Write(line, false);
  }
  const std::string first = Drain(ends[0]);
  CHECK_TRUE(first.size() < 200000);
  CHECK_TRUE(first.ends_with("\n"));
  writer.Write("after", false);
  const std::string second = Drain(ends[0]);
  CHECK_TRUE(second.find("log lines dropped") != std::string::npos);
  CHECK_TRUE(second.ends_with("after\n"));
  close(ends[0]);
  close(ends[1]);
}

// Guards against a log that grows with the load, and against losing failures among good requests.
MASTICSTEP_TEST("lines of a second are bounded and failures keep a reserve", "[telemetry][log]")
{
  LineBudget budget(100.0);
  const Time now{ Seconds(50) };
  int good = 0;
  for (int i = 0; i < 500; ++i) {
    good += budget.Admit(false, now) ? 1 : 0;
  }
  CHECK_EQUAL(75, good);
  int failures = 0;
  for (int i = 0; i < 500; ++i) {
    failures += budget.Admit(true, now) ? 1 : 0;
  }
  CHECK_EQUAL(25, failures);
  CHECK_EQUAL(std::uint64_t{ 900 }, budget.TakeDropped());
  CHECK_TRUE(budget.Admit(false, now + Seconds(1)));
}
