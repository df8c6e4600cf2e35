// The stand-ins themselves: a stand-in that breaks its rules would make other tests worthless.
#include "common/CompletionClient.hpp"
#include "common/JsonFields.hpp"
#include "support/StandIn.hpp"

#include "masticstep/testing/Test.hpp"

#include <filesystem>
#include <thread>

using namespace masticstep;
using namespace masticstep::integration;
using standins::CompletionCall;
using standins::HttpCall;
using standins::HttpReply;

namespace {

constexpr Duration kLimit = Seconds(30);

// A folder for the output of one test's processes.
class Folder
{
public:
  Folder()
    : mPath((std::filesystem::temp_directory_path() / "masticstep-test-XXXXXX").string())
  {
    CHECK_TRUE(mkdtemp(mPath.data()) != nullptr);
  }
  ~Folder()
  {
    std::error_code ec;
    std::filesystem::remove_all(mPath, ec);
  }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  std::string File(const std::string& aName) const { return mPath + "/" + aName; }

private:
  std::string mPath;
};

HttpReply Post(const StandIn& aStandIn, const std::string& aTarget, const std::string& aBody)
{
  HttpCall call;
  call.server = aStandIn.Address();
  call.method = "POST";
  call.target = aTarget;
  call.body = aBody;
  return standins::FetchBlocking(call);
}

CompletionCall Completion(const StandIn& aEngine, const std::string& aPrompt, std::uint32_t aTokens)
{
  CompletionCall call;
  call.server = aEngine.Address();
  call.model = "signs-8b";
  call.prompt = aPrompt;
  call.maxTokens = aTokens;
  return call;
}

} // namespace

// Guards against a lost answer whose write did not take effect, and limits that do not hold.
MASTICSTEP_TEST("the platform loses answers, limits sizes and rates and has outages",
                "[integration][standin]")
{
  const Folder folder;
  StandIn platform("platform_standin", {}, folder.File("platform"));
  platform.SetFaults(boost::json::object{ { "lose_answers", 1 } });
  CHECK_EQUAL(0U, platform.Put("/objects/a", "1").status);
  CHECK_EQUAL(std::string("1"), platform.Get("/objects/a").body);
  CHECK_EQUAL(413U, platform.Put("/objects/b", std::string((1U << 20U) + 1, 'x')).status);
  CHECK_EQUAL(200U, platform.Put("/objects/b", std::string(1U << 20U, 'x')).status);
  platform.SetFaults(boost::json::object{ { "outage", true } });
  CHECK_EQUAL(503U, platform.Get("/objects/a").status);
  platform.SetFaults(boost::json::object{ { "outage", false }, { "writes_per_s", 0.001 } });
  CHECK_EQUAL(200U, platform.Put("/objects/a", "2").status);
  CHECK_EQUAL(429U, platform.Put("/objects/a", "3").status);
  CHECK_EQUAL(std::string("2"), platform.Get("/objects/a").body);
}

// Guards against watches that miss a change, or count more than one call while they wait.
MASTICSTEP_TEST("a watch returns with the change and counts as one call", "[integration][standin]")
{
  const Folder folder;
  StandIn platform("platform_standin", {}, folder.File("platform"));
  CHECK_EQUAL(200U, platform.Put("/objects/w/1", "x").status);
  HttpReply seen;
  std::thread watcher(
    [&platform, &seen] { seen = platform.Get("/watch?prefix=w/&after=1&timeout_ms=9000"); });
  const bool isWaiting = WaitUntil(kLimit, [&] { return platform.Counter("watches") == 1; });
  const std::uint64_t status = platform.Put("/objects/w/2", "y").status;
  watcher.join();
  CHECK_TRUE(isWaiting);
  CHECK_EQUAL(std::uint64_t{ 200 }, status);
  CHECK_EQUAL(std::string(R"({"revision":2,"items":[{"key":"w/2","version":2}]})"), seen.body);
  CHECK_EQUAL(std::uint64_t{ 1 }, platform.Counter("reads"));
}

// Guards against a resumed stream that repeats or loses text, and a cancelled request that runs.
MASTICSTEP_TEST("an engine resumes and cancels streams", "[integration][standin]")
{
  const Folder folder;
  StandIn engine("engine_standin", { "--time-scale", "10" }, folder.File("engine"));
  const std::string body =
    R"({"model":"signs-8b","prompt":"p","max_tokens":6,"stream":true,"request_id":"r"})";
  const HttpReply whole = Post(engine, "/v1/completions", body);
  const HttpReply rest = engine.Get("/streams/r?offset=4");
  CHECK_EQUAL(200U, rest.status);
  CHECK_TRUE(rest.body.starts_with(R"(data: {"id":"r","offset":4)"));
  CHECK_TRUE(whole.body.ends_with(rest.body));
  CHECK_EQUAL(409U, Post(engine, "/v1/completions", body).status);
  HttpCall cancel;
  cancel.server = engine.Address();
  cancel.method = "DELETE";
  cancel.target = "/streams/early";
  CHECK_FALSE(standins::BooleanField(standins::FetchBlocking(cancel).Json(), "started", true));
  const std::string early = R"({"model":"signs-8b","prompt":"p","request_id":"early"})";
  CHECK_EQUAL(409U, Post(engine, "/v1/completions", early).status);
}

// Guards against an engine that serves while its role changes, or survives a crash in a change.
MASTICSTEP_TEST("a role change takes an engine away and may crash it", "[integration][standin]")
{
  const Folder folder;
  StandIn engine("engine_standin", { "--role-change-ms", "2000" }, folder.File("engine"));
  const std::string order = R"({"order_id":"1","fencing":1,"kind":"set_role","argument":"decode"})";
  CHECK_EQUAL(200U, Post(engine, "/orders", order).status);
  CHECK_EQUAL(503U, standins::StreamCompletionBlocking(Completion(engine, "p", 1)).status);
  const bool isDone = WaitUntil(kLimit, [&engine] {
    return standins::StringField(engine.Get("/orders/last").Json(), "state") == "done";
  });
  CHECK_TRUE(isDone);
  const CompletionCall call = Completion(engine, "p", 5);
  CHECK_TRUE(standins::StreamCompletionBlocking(call).IsWholeAnswerTo(call));
  engine.SetFaults(boost::json::object{ { "crash_in_change", true } });
  const std::string next = R"({"order_id":"2","fencing":1,"kind":"set_role","argument":"mixed"})";
  CHECK_EQUAL(200U, Post(engine, "/orders", next).status);
  CHECK_TRUE(engine.Child().WaitForEnd(kLimit) == std::optional<int>(1));
}

// Guards against a proxy that closes, or delivers on, connections that it should lose.
MASTICSTEP_TEST("the proxy loses open connections while new ones work", "[integration][standin]")
{
  const Folder folder;
  StandIn engine("engine_standin", {}, folder.File("engine"));
  StandIn proxy("fault_proxy", { "--target", engine.Address().Text() }, folder.File("proxy"));
  CompletionCall call = Completion(proxy, "lost", 400);
  call.idleTimeout = Seconds(2);
  bool isSet = false;
  const standins::CompletionResult lost =
    standins::StreamCompletionBlocking(call, [&proxy, &isSet](std::uint32_t aTokens) {
      if (aTokens >= 5 && !isSet) {
        isSet = true;
        proxy.SetFaults(boost::json::object{ { "black_hole_open", true } });
      }
    });
  CHECK_TRUE(isSet);
  CHECK_FALSE(lost.isComplete);
  CHECK_EQUAL(std::uint64_t{ 1 }, proxy.Counter("black_holed"));
  const CompletionCall next = Completion(proxy, "new", 5);
  CHECK_TRUE(standins::StreamCompletionBlocking(next).IsWholeAnswerTo(next));
}
