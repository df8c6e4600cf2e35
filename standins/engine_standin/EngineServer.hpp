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
  std::uint64_t duplicates = 0;  // requests with an ID that was used before
  std::uint64_t cutByChange = 0; // streams ended by a role change
  std::uint64_t roleChanges = 0;
};

// Implements the engine API as specified in section 6 of docs/design.md.
class EngineServer : public HttpHandler
{
public:
  explicit EngineServer(EngineOptions aOptions);
  Awaitable<void> Handle(Exchange& aExchange) override;
  // Runs batch steps for ever; spawn it once.
  Awaitable<void> RunSteps();
  // Takes load snapshots for ever; spawn it once.
  Awaitable<void> RunReports();

private:
  using StreamPointer = std::shared_ptr<Stream>;

  Awaitable<void> HandleCompletion(Exchange& aExchange, bool aIsChat);
  Awaitable<void> RespondToCompletion(Exchange& aExchange, bool aIsStreamed, StreamPointer aStream);
  Awaitable<void> SendStream(Exchange& aExchange, StreamPointer aStream, std::uint32_t aOffset);
  Awaitable<void> SendCompletion(Exchange& aExchange, StreamPointer aStream);
  Awaitable<void> HandleResume(Exchange& aExchange, const std::string& aId);
  Awaitable<void> HandleCancel(Exchange& aExchange, const std::string& aId);
  Awaitable<void> HandleOrder(Exchange& aExchange);
  Awaitable<void> RunOrder(EngineOrder aOrder);
  Awaitable<void> HandleCacheExport(Exchange& aExchange);
  Awaitable<void> HandleCacheImport(Exchange& aExchange);
  Awaitable<void> HandleControl(Exchange& aExchange);
  StreamPointer StartStream(const CompletionRequest& aRequest);
  // Returns the error type to reject a completion with, or an empty string to accept it.
  std::string RefusalReason(const std::string& aModel) const;
  void FailActiveStreams(const std::string& aError);
  void Publish(const BatchStep& aStep);
  void RemoveExpiredStreams();
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
  std::set<std::string> mCancelledIds; // a request that arrives after its cancellation must not run
  Signal mWorkArrived;
  bool mIsChanging = false;
  bool mIsDraining = false;
  std::uint64_t mLocalIdCount = 0;
};

} // namespace masticstep::standins
