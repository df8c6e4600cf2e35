#include "support/Process.hpp"

#include "common/TokenBucket.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <mutex>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace masticstep::integration {

namespace {

std::string TextOf(const std::string& aFile)
{
  std::ifstream file(aFile);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

constexpr Duration kPollInterval = Milliseconds(10);
constexpr std::size_t kMaximumChildren = 256;
// Below the time limit of CTest, which would kill the test and leave its children running.
constexpr unsigned kWatchdogSeconds = 560;
constexpr int kSignalBase = 128;

std::array<std::atomic<pid_t>, kMaximumChildren> sChildren{};

void EndAll(int)
{
  for (const std::atomic<pid_t>& child : sChildren) {
    if (child.load() > 0) {
      kill(child.load(), SIGKILL);
    }
  }
  _exit(EXIT_FAILURE);
}

void ArmWatchdog()
{
  std::signal(SIGALRM, EndAll);
  std::signal(SIGTERM, EndAll);
  std::signal(SIGINT, EndAll);
  alarm(kWatchdogSeconds);
}

// Puts a child into the list, or another one (0 for none) into its place.
void Remember(pid_t aPid, pid_t aReplaced)
{
  for (std::atomic<pid_t>& child : sChildren) {
    pid_t expected = aReplaced;
    if (child.compare_exchange_strong(expected, aPid)) {
      return;
    }
  }
}

std::string BuildFolder()
{
  const char* folder = std::getenv("MASTICSTEP_BUILD"); // NOLINT(concurrency-mt-unsafe)
  return folder == nullptr ? "build" : folder;
}

} // namespace

Process::Process(const std::string& aProgram, const std::vector<std::string>& aArguments,
                 std::string aFile)
  : mFile(std::move(aFile))
{
  static std::once_flag sIsArmed;
  std::call_once(sIsArmed, ArmWatchdog);
  const std::string path = BuildFolder() + "/bin/" + aProgram;
  std::vector<std::string> texts = { path };
  texts.insert(texts.end(), aArguments.begin(), aArguments.end());
  std::vector<char*> arguments;
  arguments.reserve(texts.size() + 1);
  for (std::string& text : texts) {
    arguments.push_back(text.data());
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  const int flags = O_WRONLY | O_CREAT | O_APPEND;
  constexpr mode_t kMode = 0600;
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, (mFile + ".out").c_str(), flags, kMode);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, (mFile + ".err").c_str(), flags, kMode);
  const int error = posix_spawn(&mPid, path.c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::runtime_error("cannot start " + path);
  }
  Remember(mPid, 0);
}

Process::~Process()
{
  if (IsRunning()) {
    Signal(SIGKILL);
    WaitForEnd(Seconds(10));
  }
}

void Process::Signal(int aSignal)
{
  if (!mExitCode) {
    kill(mPid, aSignal);
  }
}

bool Process::IsRunning()
{
  if (mExitCode) {
    return false;
  }
  int status = 0;
  if (waitpid(mPid, &status, WNOHANG) != mPid) {
    return true;
  }
  mExitCode = WIFEXITED(status) ? WEXITSTATUS(status) : kSignalBase + WTERMSIG(status);
  Remember(0, mPid);
  return false;
}

std::optional<int> Process::WaitForEnd(Duration aLimit)
{
  WaitUntil(aLimit, [this] { return !IsRunning(); });
  return mExitCode;
}

std::string Process::FirstLine(Duration aLimit)
{
  std::string line;
  WaitUntil(aLimit, [this, &line] {
    std::ifstream file(mFile + ".out");
    const bool hasLine = std::getline(file, line) && !file.eof();
    return hasLine || !IsRunning();
  });
  return line;
}

std::string Process::OutputText() const
{
  return TextOf(mFile + ".out");
}

std::string Process::ErrorText() const
{
  return TextOf(mFile + ".err");
}

void PollPause()
{
  std::this_thread::sleep_for(kPollInterval);
}

Time ClockNow()
{
  return standins::Now();
}

} // namespace masticstep::integration
