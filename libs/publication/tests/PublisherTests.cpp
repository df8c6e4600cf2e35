#include "masticstep/publication/Publisher.hpp"

#include "masticstep/platform/InMemoryPlatform.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::platform;
using namespace masticstep::publication;

namespace {

const std::string kPlainService =
  R"({"service": "ordering", "kind": "plain", "timeout_ms": 5000,
 "backend_servers": [{"name": "order-1", "url": "http://127.0.0.1:8201", "region": "regina",
 "data_centre": "regina-a"}],
 "calls": [{"method": "POST", "path": "/orders", "repeatable": false}]})";
constexpr Time kDeadline{ Seconds(10) };

PublishRequest OrderingRequest(const std::string& aNonce, const std::string& aText = kPlainService)
{
  return { { { ServiceName{ "ordering" }, { { "ordering.service.json", aText } } } },
           aNonce,
           kDeadline };
}

PublishRequest AccountsRequest(const std::string& aNonce)
{
  return { { { ServiceName{ "accounts" }, { { "a.accounts.json", R"({"accounts": []})" } } } },
           aNonce,
           kDeadline };
}

// Runs one publisher against the in-memory platform. A lost reply turns the reply of an applied
// request into Unknown.
class PublishRun
{
public:
  PublishRun(InMemoryPlatform& aPlatform, PublishRequest aRequest)
    : mPlatform(aPlatform)
    , mPublisher(std::move(aRequest))
    , mPendingRequest(mPublisher.Start(mNow))
  {
  }

  // Sends one request or advances the clock to the next timer. Returns false when the run has
  // ended.
  bool Advance(bool aLoseReply = false)
  {
    if (!mPendingRequest) {
      if (mPublisher.Outcome()) {
        return false;
      }
      mNow = *mPublisher.NextWakeUp();
      mPendingRequest = mPublisher.OnTime(mNow);
      return true;
    }
    PlatformReply reply = mPlatform.Apply(*mPendingRequest);
    if (aLoseReply) {
      reply = { mPendingRequest->number, PlatformStatus::Unknown, {}, {}, 0, {} };
    }
    mPendingRequest = mPublisher.OnPlatformReply(reply, mNow);
    return true;
  }

  PublishOutcome RunToEnd()
  {
    while (Advance()) {
    }
    return *mPublisher.Outcome();
  }

  bool IsWritingManifest() const
  {
    const ConditionalWrite* write =
      mPendingRequest ? std::get_if<ConditionalWrite>(&mPendingRequest->call) : nullptr;
    return write != nullptr && write->key == ManifestKey();
  }

private:
  InMemoryPlatform& mPlatform;
  Time mNow{};
  Publisher mPublisher;
  std::optional<PlatformRequest> mPendingRequest;
};

} // namespace

// Guards against generations that do not increase by one with each accepted run.
MASTICSTEP_TEST("each accepted run publishes the next generation", "[publication]")
{
  InMemoryPlatform store;
  CHECK_EQUAL(1U, PublishRun(store, OrderingRequest("a")).RunToEnd().generation);
  CHECK_EQUAL(2U, PublishRun(store, OrderingRequest("b")).RunToEnd().generation);
  const Manifest manifest = *ParseManifest(store.Find(ManifestKey())->body);
  CHECK_EQUAL(2U, manifest.services.at(ServiceName{ "ordering" }).revision);
}

// Guards against reporting an accepted run as failed because the reply was lost.
MASTICSTEP_TEST("a lost reply to the manifest write is resolved by reading the manifest",
                "[publication][failure]")
{
  InMemoryPlatform store;
  PublishRun run(store, OrderingRequest("a"));
  while (!run.IsWritingManifest()) {
    CHECK_TRUE(run.Advance());
  }
  run.Advance(true);
  const PublishOutcome outcome = run.RunToEnd();
  CHECK_TRUE(outcome.status == PublishStatus::Accepted);
  CHECK_EQUAL(1U, outcome.generation);
}

// Guards against a lost update, in which one operator silently overwrites the change of another.
MASTICSTEP_TEST("of two concurrent runs of one service the later write gets a conflict",
                "[publication]")
{
  InMemoryPlatform store;
  PublishRun first(store, OrderingRequest("a"));
  PublishRun second(store, OrderingRequest("b"));
  while (!first.IsWritingManifest()) {
    CHECK_TRUE(first.Advance());
  }
  CHECK_TRUE(second.RunToEnd().status == PublishStatus::Accepted);
  CHECK_TRUE(first.RunToEnd().status == PublishStatus::Conflict);
}

// Guards against unnecessary conflicts, and against a retry that drops the other service's entry.
MASTICSTEP_TEST("concurrent runs of different services both succeed", "[publication]")
{
  InMemoryPlatform store;
  PublishRun first(store, OrderingRequest("a"));
  while (!first.IsWritingManifest()) {
    CHECK_TRUE(first.Advance());
  }
  CHECK_EQUAL(1U, PublishRun(store, AccountsRequest("b")).RunToEnd().generation);
  CHECK_EQUAL(2U, first.RunToEnd().generation);
  CHECK_EQUAL(2U, ParseManifest(store.Find(ManifestKey())->body)->services.size());
}

// Guards against storing an invalid configuration, and against a run that does not end.
MASTICSTEP_TEST("invalid input and an outage leave the platform unchanged",
                "[publication][failure]")
{
  InMemoryPlatform store;
  const PublishOutcome bad =
    PublishRun(store, OrderingRequest("a", R"({"service": "ordering"})")).RunToEnd();
  CHECK_TRUE(bad.status == PublishStatus::BadInput && !bad.faults.empty());
  store.SetOutage(true);
  const PublishOutcome out = PublishRun(store, OrderingRequest("b")).RunToEnd();
  CHECK_TRUE(out.status == PublishStatus::Unavailable && !out.maybeAccepted);
  CHECK_TRUE(store.All().empty());
}
