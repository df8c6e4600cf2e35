// Callers that this system does not control end no daemon. The crowd and the bounds are those of a
// small machine; nothing here depends on how fast the machine of the test is.
#include "Crowd.hpp"
#include "RelayProcess.hpp"

#include "masticstep/testing/Test.hpp"

#include <functional>
#include <iostream>
#include <sstream>

using namespace masticstep;
using namespace masticstep::hostile;

namespace {

constexpr std::size_t kCallers = 60;
constexpr std::size_t kMegabyte = 1000000;
constexpr MachineLimits kMachine{ 64, 4096, 2097152 };
constexpr std::size_t kShortBy = 1000;    // bytes missing at the end of a body
constexpr std::size_t kEndless = 4194304; // bytes of what has no end, for each caller
constexpr std::size_t kLargeChunk = 65536;
constexpr std::size_t kSmallChunk = 16;
constexpr Duration kLimit = Seconds(180); // of a failing test

std::string Head(const std::string& aHeaders)
{
  return "POST /look/1 HTTP/1.1\r\nHost: hostile.example\r\n"
         "Masticstep-Request-Attempt-Id: hostile\r\n" +
         aHeaders + "\r\n";
}

std::string Chunked()
{
  return Head("Transfer-Encoding: chunked\r\n");
}

std::string Chunk(std::size_t aBytes)
{
  std::ostringstream chunk;
  chunk << std::hex << aBytes << "\r\n" << std::string(aBytes, 'a') << "\r\n";
  return chunk.str();
}

Script Trailers()
{
  const std::string line = "X-Trailer: " + std::string(80, 't') + "\r\n";
  return { Chunked() + Chunk(5) + "0\r\n", line, kEndless / line.size() };
}

Script ChunkExtension()
{
  return { Chunked() + "5;x=", std::string(1024, 'e'), kEndless / 1024 };
}

Script Chunks(std::size_t aChunk, std::size_t aBytes)
{
  return { Chunked(), Chunk(aChunk), aBytes / aChunk };
}

Script Announced(std::size_t aAnnounced, std::size_t aSent)
{
  return { Head("Content-Length: " + std::to_string(aAnnounced) + "\r\n"),
           std::string(kSmallChunk, 'a'), aSent / kSmallChunk };
}

Script HeadWithoutEnd()
{
  const std::string line = "X-Header: " + std::string(80, 'h') + "\r\n";
  return { "POST /look/1 HTTP/1.1\r\nHost: hostile.example\r\n", line, kEndless / line.size() };
}

struct Attack
{
  const char* name;
  std::function<Script()> script;
};

const std::vector<Attack>& Attacks()
{
  static const std::vector<Attack> kAttacks{
    { "trailers without end", Trailers },
    { "a chunk extension without end", ChunkExtension },
    { "large chunks that stop short",
      [] { return Chunks(kLargeChunk, kMachine.bodyBytes - kLargeChunk); } },
    { "very small chunks that stop short",
      [] { return Chunks(kSmallChunk, kMachine.bodyBytes - kShortBy); } },
    { "announced bodies that stop short",
      [] { return Announced(kMachine.bodyBytes, kMachine.bodyBytes - kShortBy); } },
    { "announced bodies over the limit",
      [] { return Announced(50 * kMachine.bodyBytes, kEndless); } },
    { "bodies over the limit, just sent", [] { return Chunks(kLargeChunk, 4 * kEndless); } },
    { "heads without end", HeadWithoutEnd }
  };
  return kAttacks;
}

// Returns what is wrong after the crowd has sent its scripts; empty if nothing is.
std::string ProblemAfter(const std::vector<Script>& aScripts, const std::string& aName)
{
  RelayProcess relay(kMachine);
  Crowd crowd(relay.Callers(), aScripts);
  if (!crowd.Send(kLimit)) {
    return "the daemon neither reads on nor closes";
  }
  relay.AwaitQuiet();
  const bool hasAnswered = relay.AnswersOrdinaryRequest(kLimit);
  const std::size_t peak = relay.PeakBytes();
  std::cout << "  " << aName << ": sent " << crowd.SentBytes() / kMegabyte << " MB, peak "
            << peak / kMegabyte << " MB\n";
  if (!relay.IsRunning()) {
    return "the daemon has ended";
  }
  if (!hasAnswered) {
    return "an ordinary request is not answered";
  }
  return peak <= kMachine.memoryMegabytes * kMegabyte
           ? std::string()
           : "the daemon took " + std::to_string(peak / kMegabyte) + " MB";
}

void CheckAttack(std::size_t aNumber)
{
  const Attack& attack = Attacks().at(aNumber);
  const std::vector<Script> scripts(kCallers, attack.script());
  CHECK_EQUAL(std::string(), ProblemAfter(scripts, attack.name));
}

} // namespace

MASTICSTEP_TEST("trailers without end stay within the machine's memory", "[hostile]")
{
  CheckAttack(0);
}

MASTICSTEP_TEST("chunk extensions without end stay within the machine's memory", "[hostile]")
{
  CheckAttack(1);
}

MASTICSTEP_TEST("bodies of large chunks that stop short stay within the machine's memory",
                "[hostile]")
{
  CheckAttack(2);
}

MASTICSTEP_TEST("bodies of very small chunks that stop short stay within the machine's memory",
                "[hostile]")
{
  CheckAttack(3);
}

MASTICSTEP_TEST("announced bodies that stop short stay within the machine's memory", "[hostile]")
{
  CheckAttack(4);
}

MASTICSTEP_TEST("announced bodies over the limit stay within the machine's memory", "[hostile]")
{
  CheckAttack(5);
}

MASTICSTEP_TEST("bodies over the limit that are just sent stay within the machine's memory",
                "[hostile]")
{
  CheckAttack(6);
}

MASTICSTEP_TEST("heads without end stay within the machine's memory", "[hostile]")
{
  CheckAttack(7);
}

MASTICSTEP_TEST("all kinds at once stay within the machine's memory", "[hostile]")
{
  std::vector<Script> scripts;
  for (std::size_t i = 0; i < kCallers; ++i) {
    scripts.push_back(Attacks()[i % Attacks().size()].script());
  }
  CHECK_EQUAL(std::string(), ProblemAfter(scripts, "all kinds"));
}

// Guards against a daemon that runs out of descriptors, so that it can reach neither engines nor
// the store.
MASTICSTEP_TEST("connections that only begin a request leave descriptors free", "[hostile]")
{
  constexpr std::size_t kConnections = 300;
  constexpr std::size_t kDescriptors = 400;
  constexpr std::size_t kKeptForFiles = 200; // by the platform's account
  RelayProcess relay({ kMachine.memoryMegabytes, kDescriptors, kMachine.bodyBytes });
  const Script script{ "POST /look/1 HTTP/1.1\r\n", {}, 0 };
  Crowd crowd(relay.Callers(), std::vector<Script>(kConnections, script));
  CHECK_TRUE(crowd.Send(kLimit));
  CHECK_TRUE(relay.OpenDescriptors() <= kDescriptors - kKeptForFiles);
  CHECK_TRUE(relay.AnswersOrdinaryRequest(kLimit));
  CHECK_TRUE(relay.OpenDescriptors() <= kDescriptors - kKeptForFiles);
  CHECK_TRUE(relay.IsRunning());
}

MASTICSTEP_TEST("a single request inside the limits is served", "[hostile]")
{
  RelayProcess relay(kMachine);
  CHECK_TRUE(relay.AnswersOrdinaryRequest(kLimit, kMachine.bodyBytes));
}
