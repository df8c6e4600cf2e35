#pragma once

#include "common/HttpServer.hpp"
#include "engine_standin/Batch.hpp"
#include "engine_standin/CompletionRequest.hpp"
#include "engine_standin/EngineFaults.hpp"
#include "engine_standin/EngineOrders.hpp"
#include "engine_standin/LoadReports.hpp"
#include "engine_standin/Stream.hpp"

#include <map>
#include <memory>
#include <set>

namespace masticstep::standins {

struct EngineOptions
{
  std::string name;
  std::vector<std::string> models;
  EngineRole role = EngineRole::Mixed;
  bool refusesOldFencing = true;
  std::uint64_t seed = 1;
  EngineParameters parameters;
  EngineFaults faults;
};

struct EngineCounters
{
  std::uint64_t requests = 0;
  std::uint64_t refused = 0;
  std::uint64_t finished = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t resumed = 0;
  std::uint64_t duplicates = 0; // request ids that came twice
  std::uint64_t cutByChange = 0;
  std::uint64_t roleChanges = 0;
};

// The engine of section 6 of the design page.
class EngineServer : public HttpHandler
{
public:
  explicit EngineServer(EngineOptions aOptions);
  Awaitable<void> Handle(Exchange& aExchange) override;
  // Runs steps of the batch; spawned once.
  Awaitable<void> RunSteps();
  // Takes load snapshots; spawned once.
  Awaitable<void> RunReports();

private:
  using StreamPointer = std::shared_ptr<Stream>;

  Awaitable<void> Complete(Exchange& aExchange, bool aIsChat);
  Awaitable<void> AnswerCompletion(Exchange& aExchange, bool aIsStreamed, StreamPointer aStream);
  Awaitable<void> Relay(Exchange& aExchange, StreamPointer aStream, std::uint32_t aOffset);
  Awaitable<void> AnswerWhole(Exchange& aExchange, StreamPointer aStream);
  Awaitable<void> Resume(Exchange& aExchange, const std::string& aId);
  Awaitable<void> Cancel(Exchange& aExchange, const std::string& aId);
  Awaitable<void> TakeOrder(Exchange& aExchange);
  Awaitable<void> RunOrder(EngineOrder aOrder);
  Awaitable<void> ExportCache(Exchange& aExchange);
  Awaitable<void> ImportCache(Exchange& aExchange);
  Awaitable<void> ReplyControl(Exchange& aExchange);
  StreamPointer StartStream(const CompletionRequest& aRequest);
  // Returns why a completion is refused; empty if it is not.
  std::string RefusalReason(const std::string& aModel) const;
  void EndAllStreams(const std::string& aError);
  void Publish(const BatchStep& aStep);
  void DropOldStreams();
  std::string StateText() const;
  LoadSnapshot TakeSnapshot() const;
  boost::json::value LoadJson() const;
  boost::json::value CacheEventsJson(std::uint64_t aAfter) const;
  boost::json::value CountersJson() const;
  boost::json::value LastOrderJson() const;
  Duration Scaled(Duration aSpan) const;

  EngineOptions mOptions;
  CacheEventLog mCacheEvents;
  KvMemory mMemory;
  Batch mBatch;
  EngineOrders mOrders;
  LoadReports mReports;
  EngineCounters mCounters;
  std::map<std::string, StreamPointer> mStreams;
  std::set<std::string> mCancelledIds; // a request that comes after its cancellation must not run
  Signal mWorkArrived;
  bool mIsChanging = false;
  bool mIsDraining = false;
  std::uint64_t mOwnIds = 0;
};

} // namespace masticstep::standins
