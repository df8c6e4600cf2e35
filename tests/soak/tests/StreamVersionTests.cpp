// Real daemons and engines of two software versions that serve side by side.
#include "Daemon.hpp"
#include "Engine.hpp"
#include "Operator.hpp"
#include "Routes.hpp"
#include "common/Signal.hpp"
#include "common/TokenBucket.hpp"

#include "masticstep/testing/Test.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <set>

using namespace masticstep;
using namespace masticstep::soak;

namespace http = boost::beast::http;

namespace {

const std::vector<std::string> kDataCentres = { "east", "west" };
const std::vector<std::string> kVersions = { "v1", "v2" };
constexpr std::size_t kDaemons = 4;
constexpr std::size_t kEnginesOfVersion = 4;
constexpr std::size_t kCallers = 40;
constexpr Duration kCallerSpacing = Milliseconds(30);
constexpr std::uint64_t kEvents = 60;
constexpr Duration kEventInterval = Milliseconds(20);
constexpr Duration kCallersStart = Seconds(2);
constexpr Duration kEnd = Seconds(14);
constexpr Duration kTakeUpTime = Seconds(4); // until a caller gives a cut stream up
constexpr Duration kTakeUpPause = Milliseconds(100);
constexpr Duration kReadTimeout = Seconds(6);
// The rules judge take-ups from this number on.
constexpr std::size_t kMinimumTakeUps = 12;

// What a caller has received of one attempt.
struct Answer
{
  unsigned status = 0; // 0 without a response
  bool isComplete = false;
  std::uint64_t lastEvent = 0;
};

// One stream and the attempts that brought events of it.
struct StreamHistory
{
  std::vector<std::string> attempts;
  bool wasCut = false; // after its first event
  bool wentOn = false; // to its end, by a later attempt
};

// Returns the id of the last complete event.
std::uint64_t LastEvent(const std::string& aBody)
{
  const std::size_t end = aBody.rfind("\n\n");
  const std::size_t begin = end == std::string::npos ? end : aBody.rfind("id: ", end);
  return begin == std::string::npos ? 0 : std::strtoull(aBody.c_str() + begin + 4, nullptr, 10);
}

// When daemons are killed, and the second version joins. Times count from the start of the run.
struct Scenario
{
  std::vector<Duration> kills;
  std::vector<std::size_t> killed; // daemons
  Duration secondVersion = Duration::zero();
};

// Daemons, and engines of two software versions whose names begin with their version.
class VersionFleet
{
public:
  VersionFleet(std::string aFolder, Scenario aScenario)
    : mScenario(std::move(aScenario))
    , mFolder(std::move(aFolder))
    , mNetwork("127." + std::to_string(1 + getpid() % 120) + ".77")
    , mOperator(mHistory, mStore, mCallers, mBounds)
  {
    mShared.history = &mHistory;
    mShared.store = &mStore;
    mShared.random.seed(33);
    mStoreServer = Listen(mStore);
    for (std::size_t i = 0; i < kVersions.size() * kEnginesOfVersion; ++i) {
      AddEngine(i);
    }
    for (std::size_t i = 0; i < kDaemons; ++i) {
      AddDaemon(i);
    }
  }

  void Run()
  {
    mBegin = standins::Now();
    mOperator.WriteInitial();
    for (std::size_t i = 0; i < mEngines.size(); ++i) {
      const bool isOld = i < kEnginesOfVersion;
      Spawn(StartAt(*mEngines[i], isOld ? Duration::zero() : mScenario.secondVersion));
    }
    for (const std::unique_ptr<Daemon>& daemon : mDaemons) {
      Spawn(daemon->Run());
    }
    Spawn(Play());
    mContext.run();
  }

  const std::vector<StreamHistory>& Streams() const { return mStreams; }
  // Returns how many streams hold events of engines of two versions.
  std::size_t CountJoined() const
  {
    std::map<std::string, std::set<std::string>> versions; // by attempt
    for (const RunRecord& run : mHistory.Runs()) {
      versions[run.callId].insert(run.engine.substr(0, run.engine.find('-')));
    }
    return static_cast<std::size_t>(
      std::count_if(mStreams.begin(), mStreams.end(), [&versions](const StreamHistory& aStream) {
        std::set<std::string> all;
        for (const std::string& attempt : aStream.attempts) {
          all.insert(versions[attempt].begin(), versions[attempt].end());
        }
        return all.size() > 1;
      }));
  }

private:
  std::unique_ptr<standins::HttpServer> Listen(standins::HttpHandler& aHandler)
  {
    Result<std::unique_ptr<standins::HttpServer>, std::string> server =
      standins::HttpServer::Create(mContext, { "127.0.0.1", 0 }, aHandler);
    CHECK_TRUE(server.has_value());
    return std::move(*server);
  }

  void AddEngine(std::size_t aNumber)
  {
    const std::string& version = kVersions[aNumber / kEnginesOfVersion];
    EngineOptions options;
    options.name = version + "-" + std::to_string(aNumber);
    options.service = kModels;
    options.dataCentre = kDataCentres[aNumber % kDataCentres.size()];
    options.stage = aNumber % kEnginesOfVersion < kEnginesOfVersion / 2 ? "prefill" : "decode";
    options.softwareVersion = version;
    options.eventInterval = kEventInterval;
    mEngines.push_back(std::make_unique<Engine>(mShared, std::move(options)));
    mEngineServers.push_back(Listen(*mEngines.back()));
    mEngines.back()->SetAddress(mEngineServers.back()->BoundAddress().Text());
  }

  void AddDaemon(std::size_t aNumber)
  {
    DaemonOptions options;
    options.number = aNumber;
    options.ip = mNetwork + "." + std::to_string(aNumber + 1);
    options.dataCentre = kDataCentres[aNumber % kDataCentres.size()];
    options.dataCentres = kDataCentres;
    options.folder = mFolder;
    options.store = mStoreServer->BoundAddress();
    options.bounds = mBounds;
    Result<std::unique_ptr<Daemon>, std::string> daemon =
      Daemon::Create(mContext, mHistory, std::move(options));
    CHECK_TRUE(daemon.has_value());
    mDaemons.push_back(std::move(*daemon));
  }

  void Spawn(Awaitable<void> aTask)
  {
    boost::asio::co_spawn(mContext, std::move(aTask), boost::asio::detached);
  }

  Awaitable<void> StartAt(Engine& aEngine, Duration aTime)
  {
    co_await standins::Pause(aTime);
    co_await aEngine.Start();
  }

  Awaitable<void> Play()
  {
    co_await standins::Pause(kCallersStart);
    for (std::size_t i = 0; i < kCallers; ++i) {
      Spawn(CallAgain(i));
    }
    for (const Duration kill : mScenario.kills) {
      co_await standins::Pause(mBegin + kill - standins::Now());
      for (const std::size_t killed : mScenario.killed) {
        mDaemons[killed]->Kill();
      }
    }
    co_await standins::Pause(mBegin + kEnd - standins::Now());
    mIsOver = true;
    co_await standins::Pause(kReadTimeout / 2);
    for (const std::unique_ptr<Daemon>& daemon : mDaemons) {
      daemon->Finish();
      daemon->Kill();
    }
    while (std::any_of(mDaemons.begin(), mDaemons.end(),
                       [](const auto& aDaemon) { return !aDaemon->HasEnded(); })) {
      co_await standins::Pause(Milliseconds(50));
    }
    mContext.stop();
  }

  Awaitable<void> CallAgain(std::size_t aCaller)
  {
    std::size_t daemon = aCaller;
    // Streams are at all points of their lives when the daemons are killed.
    co_await standins::Pause(kCallerSpacing * static_cast<std::int64_t>(aCaller));
    while (!mIsOver) {
      co_await standins::Pause(Milliseconds(20));
      StreamHistory stream;
      stream.attempts.push_back("call-" + std::to_string(++mAttempts));
      Answer answer = co_await Call(stream.attempts.front(), ++daemon, {}, 0);
      if (answer.lastEvent == 0) {
        continue;
      }
      if (!answer.isComplete) {
        stream.wasCut = true;
        co_await TakeUp(stream, answer.lastEvent, daemon);
      }
      mStreams.push_back(std::move(stream));
    }
  }

  // Takes a stream up at one daemon after the other until it has ended or is refused.
  Awaitable<void> TakeUp(StreamHistory& aStream, std::uint64_t aLastEvent, std::size_t aDaemon)
  {
    const std::string first = aStream.attempts.front();
    const Time end = standins::Now() + kTakeUpTime;
    std::uint64_t last = aLastEvent;
    bool isRefused = false;
    while (!aStream.wentOn && !isRefused && standins::Now() < end) {
      co_await standins::Pause(kTakeUpPause);
      const std::string attempt = "call-" + std::to_string(++mAttempts);
      const Answer answer = co_await Call(attempt, ++aDaemon, first, last);
      if (answer.lastEvent > last) {
        aStream.attempts.push_back(attempt);
        last = answer.lastEvent;
      }
      aStream.wentOn = answer.isComplete && last == kEvents;
      // A daemon without a list of engines refuses everything; the rest is final.
      isRefused = answer.status >= 400 && answer.status != 503;
    }
  }

  Awaitable<Answer> Call(std::string aAttempt, std::size_t aDaemon, std::string aFirstAttempt,
                         std::uint64_t aLastEvent)
  {
    http::request<http::string_body> request(http::verb::post,
                                             std::string(PrefixOf(CallKind::Review)) + "1", 11);
    request.set(http::field::host, kHost);
    request.set("Masticstep-Request-Attempt-Id", aAttempt);
    request.set("Masticstep-Deadline-Milliseconds", "4000");
    request.set("Masticstep-Model", "m");
    request.set("Masticstep-Token-Counts", "900," + std::to_string(kEvents));
    request.set("Masticstep-Prompt-Prefix", "a1:600," + std::to_string(mAttempts) + ":300");
    if (aLastEvent > 0) {
      request.set("Last-Event-Id", std::to_string(aLastEvent));
      request.set("Resumes", aFirstAttempt);
    }
    request.body() = aAttempt;
    request.prepare_payload();
    boost::beast::tcp_stream stream(mContext);
    stream.expires_after(kReadTimeout);
    standins::ErrorCode ec;
    const standins::Tcp::endpoint endpoint =
      standins::EndpointOf(mDaemons[aDaemon % mDaemons.size()]->CallersAddress());
    co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, ec));
    if (!ec) {
      co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, ec));
    }
    Answer answer;
    if (ec) {
      co_return answer;
    }
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    co_await http::async_read(stream, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, ec));
    if (parser.is_header_done()) {
      answer.status = parser.get().result_int();
      answer.isComplete = !ec && answer.status == 200;
      answer.lastEvent = answer.status == 200 ? LastEvent(parser.get().body()) : 0;
    }
    co_return answer;
  }

  const Scenario mScenario;
  const std::string mFolder;
  const std::string mNetwork;
  const Bounds mBounds;
  asio::io_context mContext{ 1 };
  History mHistory;
  MetadataStore mStore;
  std::unique_ptr<standins::HttpServer> mStoreServer;
  EngineSharedState mShared;
  std::vector<std::unique_ptr<Engine>> mEngines;
  std::vector<std::unique_ptr<standins::HttpServer>> mEngineServers;
  std::vector<std::unique_ptr<Daemon>> mDaemons;
  CallerSharedState mCallers;
  Operator mOperator;
  std::vector<StreamHistory> mStreams;
  std::uint64_t mAttempts = 0;
  bool mIsOver = false;
  Time mBegin{};
};

// What became of the streams of one run.
struct Outcome
{
  std::size_t cut = 0;
  std::size_t wentOn = 0;
  std::size_t joined = 0; // of two versions
  std::string folder;     // with the output of the processes; kept after a failure
};

Outcome Play(Scenario aScenario)
{
  std::string folder = (std::filesystem::temp_directory_path() / "masticstep-soak-XXXXXX").string();
  CHECK_TRUE(mkdtemp(folder.data()) != nullptr);
  VersionFleet fleet(folder, std::move(aScenario));
  fleet.Run();
  Outcome result;
  result.folder = folder;
  result.joined = fleet.CountJoined();
  for (const StreamHistory& stream : fleet.Streams()) {
    result.cut += stream.wasCut ? 1 : 0;
    result.wentOn += stream.wentOn ? 1 : 0;
  }
  std::printf("%zu streams, %zu cut, %zu went on, %zu joined of two versions, see %s\n",
              fleet.Streams().size(), result.cut, result.wentOn, result.joined, folder.c_str());
  return result;
}

} // namespace

// Guards against streams whose first part is of one software version and whose rest is of another,
// and against streams that are given up though their version still serves.
MASTICSTEP_TEST("streams go on at their software version after all daemons were killed",
                "[soak][versions]")
{
  Scenario scenario;
  scenario.kills = { Seconds(5), Seconds(10) };
  scenario.killed = { 0, 1, 2, 3 };
  const Outcome outcome = Play(std::move(scenario));
  CHECK_TRUE(outcome.cut >= kMinimumTakeUps);
  CHECK_EQUAL(std::size_t{ 0 }, outcome.joined);
  CHECK_TRUE(2 * outcome.wentOn >= outcome.cut);
  std::filesystem::remove_all(outcome.folder);
}

// Guards against streams that are refused since only the daemon that is lost knew their version.
MASTICSTEP_TEST("streams of daemons that are lost as a version joins go on", "[soak][versions]")
{
  Scenario scenario;
  scenario.kills = { Seconds(7) };
  scenario.killed = { 0, 1 };
  scenario.secondVersion = Seconds(7);
  const Outcome outcome = Play(std::move(scenario));
  CHECK_TRUE(outcome.cut >= kMinimumTakeUps);
  CHECK_EQUAL(std::size_t{ 0 }, outcome.joined);
  CHECK_TRUE(2 * outcome.wentOn >= outcome.cut);
  std::filesystem::remove_all(outcome.folder);
}
