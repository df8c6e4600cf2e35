// Role changes under load, and the loss of the daemon that gives the orders.
#include "support/Fleet.hpp"

#include "masticstep/testing/Test.hpp"

#include <atomic>
#include <csignal>
#include <mutex>
#include <thread>

using namespace masticstep;
using namespace masticstep::integration;

namespace {

// Generous: the planner decides nothing before its forecast has seen 30 s.
constexpr Duration kLimit = Seconds(180);
constexpr std::size_t kCallers = 6;
constexpr std::size_t kPromptBytes = 24000; // 6,000 tokens, so that prompts are nearly all the work
constexpr std::uint32_t kTokens = 10;

// Callers with long prompts that go to every daemon that answers.
class PromptLoad
{
public:
  explicit PromptLoad(Fleet& aFleet)
  {
    for (std::size_t i = 0; i < kCallers; ++i) {
      mThreads.emplace_back([this, &aFleet, i] { Run(aFleet, i); });
    }
  }
  ~PromptLoad()
  {
    mIsStopping = true;
    for (std::thread& thread : mThreads) {
      thread.join();
    }
  }
  PromptLoad(const PromptLoad&) = delete;
  PromptLoad& operator=(const PromptLoad&) = delete;

  // Requests go only to other daemons from now on.
  void Avoid(std::size_t aDaemon) { mAvoided = aDaemon; }
  std::size_t Whole() const { return mWhole.load(); }
  std::string Failures() const
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mFailures;
  }

private:
  void Run(Fleet& aFleet, std::size_t aCaller)
  {
    for (std::size_t turn = 0; !mIsStopping; ++turn) {
      const std::size_t daemon = (aCaller + turn) % aFleet.DaemonCount();
      if (daemon == mAvoided) {
        continue;
      }
      const std::string prompt = std::to_string(aCaller) + " " + std::to_string(turn) + " ";
      const standins::CompletionCall call =
        aFleet.Completion(daemon, prompt + std::string(kPromptBytes, 'p'), kTokens);
      const standins::CompletionResult result = standins::StreamCompletionBlocking(call);
      const bool isRefused = result.status == 503 || result.status == 429;
      if (result.IsWholeAnswerTo(call)) {
        ++mWhole;
      } else if (!isRefused && daemon != mAvoided) {
        const std::lock_guard<std::mutex> lock(mMutex);
        mFailures += std::to_string(result.status) + " " + result.error + "\n";
      }
    }
  }

  std::atomic<bool> mIsStopping{ false };
  std::atomic<std::size_t> mWhole{ 0 };
  std::atomic<std::size_t> mAvoided{ SIZE_MAX };
  mutable std::mutex mMutex;
  std::string mFailures;
  std::vector<std::thread> mThreads;
};

std::uint64_t SumOf(Fleet& aFleet, const std::string& aCounter)
{
  std::uint64_t sum = 0;
  for (std::size_t i = 0; i < aFleet.EngineCount(); ++i) {
    sum += aFleet.Engine(i).Counter(aCounter);
  }
  return sum;
}

// Returns the lease object of the only data centre; empty if there is none.
boost::json::object Lease(Fleet& aFleet)
{
  const std::string centre = aFleet.Daemon(0).Settings().dataCentre;
  return aFleet.Platform().Get("/objects/leases/" + centre + "/roles").Json();
}

std::string HolderOf(const boost::json::object& aLease)
{
  const boost::json::value* holder = aLease.if_contains("holder");
  return holder == nullptr ? std::string() : std::string(holder->as_string());
}

std::size_t DaemonNamed(Fleet& aFleet, const std::string& aHost)
{
  for (std::size_t i = 0; i < aFleet.DaemonCount(); ++i) {
    if (aFleet.Daemon(i).Settings().host == aHost) {
      return i;
    }
  }
  CPPUNIT_FAIL("no daemon is named " + aHost);
}

} // namespace

// Guards against a role change that cuts a stream, against conflicting orders, and against orders
// of two daemons when the one that gives them is killed.
MASTICSTEP_TEST("roles change under load without a cut, also when the lease holder is killed",
                "[integration][roles][failure]")
{
  FleetShape shape;
  shape.daemons = 3;
  shape.engines = 4;
  shape.hasEagerRoles = true;
  Fleet fleet(shape);
  PromptLoad load(fleet);
  CHECK_TRUE(WaitUntil(kLimit, [&fleet] { return SumOf(fleet, "role_changes") > 0; }));
  CPPUNIT_ASSERT_EQUAL(std::string(), load.Failures());

  const boost::json::object before = Lease(fleet);
  const std::size_t holder = DaemonNamed(fleet, HolderOf(before));
  load.Avoid(holder);
  fleet.Daemon(holder).Child().Signal(SIGKILL);
  CHECK_TRUE(WaitUntil(kLimit, [&fleet, &before] {
    const std::string now = HolderOf(Lease(fleet));
    return !now.empty() && now != HolderOf(before);
  }));
  CHECK_TRUE(Lease(fleet).at("fencing").as_int64() > before.at("fencing").as_int64());
  const std::size_t whole = load.Whole();
  CHECK_TRUE(WaitUntil(kLimit, [&load, whole] { return load.Whole() >= whole + 2 * kCallers; }));

  CPPUNIT_ASSERT_EQUAL(std::string(), load.Failures());
  CHECK_EQUAL(std::uint64_t{ 0 }, SumOf(fleet, "cut_by_change"));
  CHECK_EQUAL(std::uint64_t{ 0 }, SumOf(fleet, "orders_conflicting"));
  CHECK_EQUAL(std::uint64_t{ 0 }, SumOf(fleet, "orders_accepted_old_fencing"));
}
