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

PublishRequest Ordering(const std::string& aNonce, const std::string& aText = kPlainService)
{
  return { { { ServiceName{ "ordering" }, { { "ordering.service.json", aText } } } },
           aNonce,
           kDeadline };
}

PublishRequest Accounts(const std::string& aNonce)
{
  return { { { ServiceName{ "accounts" }, { { "a.accounts.json", R"({"accounts": []})" } } } },
           aNonce,
           kDeadline };
}

// Runs one publisher against the platform; each lost answer is one Unknown after a write applied.
class Run
{
public:
  Run(InMemoryPlatform& aStore, PublishRequest aRequest)
    : mStore(aStore)
    , mPublisher(std::move(aRequest))
    , mNext(mPublisher.Start(mNow))
  {
  }

  // Makes one call; returns false when the run has ended.
  bool Step(bool aLoseAnswer = false)
  {
    if (!mNext) {
      if (mPublisher.Outcome()) {
        return false;
      }
      mNow = *mPublisher.NextWakeUp();
      mNext = mPublisher.OnTime(mNow);
      return true;
    }
    PlatformReply reply = mStore.Apply(*mNext);
    if (aLoseAnswer) {
      reply = { mNext->number, PlatformStatus::Unknown, {}, {}, 0, {} };
    }
    mNext = mPublisher.OnPlatformReply(reply, mNow);
    return true;
  }

  PublishOutcome Finish()
  {
    while (Step()) {
    }
    return *mPublisher.Outcome();
  }

  bool IsWritingManifest() const
  {
    const ConditionalWrite* write = mNext ? std::get_if<ConditionalWrite>(&mNext->call) : nullptr;
    return write != nullptr && write->key == ManifestKey();
  }

private:
  InMemoryPlatform& mStore;
  Time mNow{};
  Publisher mPublisher;
  std::optional<PlatformRequest> mNext;
};

} // namespace

// Guards against generations that do not count up by one for each accepted publish.
MASTICSTEP_TEST("each accepted publish is the next generation", "[publication]")
{
  InMemoryPlatform store;
  CHECK_EQUAL(1U, Run(store, Ordering("a")).Finish().generation);
  CHECK_EQUAL(2U, Run(store, Ordering("b")).Finish().generation);
  const Manifest manifest = *ParseManifest(store.Find(ManifestKey())->body);
  CHECK_EQUAL(2U, manifest.services.at(ServiceName{ "ordering" }).revision);
}

// Guards against an accepted publish that is reported as failed because its answer was lost.
MASTICSTEP_TEST("a lost answer to the manifest write is settled by reading back",
                "[publication][failure]")
{
  InMemoryPlatform store;
  Run run(store, Ordering("a"));
  while (!run.IsWritingManifest()) {
    CHECK_TRUE(run.Step());
  }
  run.Step(true);
  const PublishOutcome outcome = run.Finish();
  CHECK_TRUE(outcome.status == PublishStatus::Accepted);
  CHECK_EQUAL(1U, outcome.generation);
}

// Guards against a lost update: the second operator would silently undo the first one's change.
MASTICSTEP_TEST("of two publishers of one service the second gets a conflict", "[publication]")
{
  InMemoryPlatform store;
  Run first(store, Ordering("a"));
  Run second(store, Ordering("b"));
  while (!first.IsWritingManifest()) {
    CHECK_TRUE(first.Step());
  }
  CHECK_TRUE(second.Finish().status == PublishStatus::Accepted);
  CHECK_TRUE(first.Finish().status == PublishStatus::Conflict);
}

// Guards against needless conflicts and against dropping the other service's entry on a retry.
MASTICSTEP_TEST("publishers of different services both succeed", "[publication]")
{
  InMemoryPlatform store;
  Run first(store, Ordering("a"));
  while (!first.IsWritingManifest()) {
    CHECK_TRUE(first.Step());
  }
  CHECK_EQUAL(1U, Run(store, Accounts("b")).Finish().generation);
  CHECK_EQUAL(2U, first.Finish().generation);
  CHECK_EQUAL(2U, ParseManifest(store.Find(ManifestKey())->body)->services.size());
}

// Guards against a faulty configuration that becomes durable, and against an endless run.
MASTICSTEP_TEST("bad input and an outage leave the platform unchanged", "[publication][failure]")
{
  InMemoryPlatform store;
  const PublishOutcome bad = Run(store, Ordering("a", R"({"service": "ordering"})")).Finish();
  CHECK_TRUE(bad.status == PublishStatus::BadInput && !bad.faults.empty());
  store.SetOutage(true);
  const PublishOutcome out = Run(store, Ordering("b")).Finish();
  CHECK_TRUE(out.status == PublishStatus::Unavailable && !out.maybeAccepted);
  CHECK_TRUE(store.All().empty());
}
