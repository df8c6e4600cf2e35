#include "engine_standin/EngineServer.hpp"

#include "common/GeneratedText.hpp"
#include "common/JsonFields.hpp"
#include "common/TokenBucket.hpp"

#include "masticstep/base/Hash.hpp"

#include <algorithm>
#include <cstdlib>

namespace masticstep::standins {

namespace {

// docs/design.md requires a comment line at least every 500 ms.
constexpr Duration kKeepAliveInterval = Milliseconds(400);
constexpr Duration kIdleWait = Seconds(1);
constexpr Duration kReportInterval = Milliseconds(50);
// How long an ended stream without readers can still be resumed.
constexpr Duration kStreamRetention = Seconds(60);
constexpr std::string_view kStreamPath = "/streams/";

} // namespace

EngineServer::EngineServer(EngineOptions aOptions)
  : mOptions(std::move(aOptions))
  , mCacheEvents(mOptions.seed, mOptions.faults.cacheEventDelay, mOptions.faults.cacheEventLoss)
  , mMemory(mOptions.parameters.blocks, mOptions.parameters.cachedBlockLimit, mCacheEvents)
  , mBatch(mOptions.parameters, mMemory)
  , mOrders(mOptions.refusesOldFencing)
{
  mBatch.SetRole(mOptions.role);
  mReports.Append(TakeSnapshot());
}

Awaitable<void> EngineServer::Handle(Exchange& aExchange)
{
  const std::string& path = aExchange.Path();
  const std::string& method = aExchange.Method();
  const std::string stream =
    path.starts_with(kStreamPath) ? path.substr(kStreamPath.size()) : std::string();
  if (method == "POST" && path == "/v1/completions") {
    co_await HandleCompletion(aExchange, false);
  } else if (method == "POST" && path == "/v1/chat/completions") {
    co_await HandleCompletion(aExchange, true);
  } else if (method == "GET" && !stream.empty()) {
    co_await HandleResume(aExchange, stream);
  } else if (method == "DELETE" && !stream.empty()) {
    co_await HandleCancel(aExchange, stream);
  } else if (method == "POST" && path == "/orders") {
    co_await HandleOrder(aExchange);
  } else if (method == "POST" && path == "/kv/export") {
    co_await HandleCacheExport(aExchange);
  } else if (method == "POST" && path == "/kv/import") {
    co_await HandleCacheImport(aExchange);
  } else {
    co_await HandleControl(aExchange);
  }
}

std::string EngineServer::RefusalReason(const std::string& aModel) const
{
  if (mIsDraining) {
    return "draining";
  }
  if (mIsChanging) {
    return "changing";
  }
  if (mOptions.faults.refusing) {
    return "refusing";
  }
  const std::vector<std::string>& models = mOptions.models;
  return std::find(models.begin(), models.end(), aModel) == models.end() ? "unknown_model" : "";
}

Awaitable<void> EngineServer::HandleCompletion(Exchange& aExchange, bool aIsChat)
{
  ++mCounters.requests;
  const std::optional<boost::json::object> body = aExchange.JsonBody();
  const Result<CompletionRequest, std::string> request =
    body ? ParseCompletionRequest(*body, aIsChat)
         : Failure(std::string("body is not a JSON object"));
  if (!request) {
    co_await aExchange.ReplyError(400, "bad_request", request.error());
    co_return;
  }
  const std::string refusal = RefusalReason(request->model);
  if (!refusal.empty()) {
    ++mCounters.refused;
    co_await aExchange.ReplyError(refusal == "unknown_model" ? 404 : 503, refusal,
                                  "request was not started");
    co_return;
  }
  if (mStreams.contains(request->id) || mCancelledIds.contains(request->id)) {
    ++mCounters.duplicates;
    co_await aExchange.ReplyError(409, "duplicate", "request id was used before");
    co_return;
  }
  const StreamPointer stream = StartStream(*request);
  if (!stream) {
    ++mCounters.refused;
    co_await aExchange.ReplyError(503, "full", "request was not started");
    co_return;
  }
  co_await RespondToCompletion(aExchange, request->isStreamed, stream);
}

Awaitable<void> EngineServer::RespondToCompletion(Exchange& aExchange, bool aIsStreamed,
                                                  StreamPointer aStream)
{
  if (mOptions.faults.failRequests > 0) {
    --mOptions.faults.failRequests;
    mBatch.Remove(aStream->id, Now());
    aStream->error = "failed";
    co_await aExchange.ReplyError(500, "failed", "request failed after it was accepted");
    co_return;
  }
  if (aIsStreamed) {
    co_await SendStream(aExchange, aStream, 0);
  } else {
    co_await SendCompletion(aExchange, aStream);
  }
}

EngineServer::StreamPointer EngineServer::StartStream(const CompletionRequest& aRequest)
{
  StreamPointer stream = std::make_shared<Stream>();
  stream->id = aRequest.id.empty() ? "local-" + std::to_string(++mLocalIdCount) : aRequest.id;
  stream->promptHash = Hash64(aRequest.prompt);
  stream->promptTokens = CountPromptTokens(aRequest.prompt);
  stream->maxTokens = aRequest.maxTokens;
  stream->isChat = aRequest.isChat;
  stream->lastUse = Now();
  SequenceRequest sequence;
  sequence.id = stream->id;
  sequence.promptTokens = stream->promptTokens;
  sequence.maxTokens = stream->maxTokens;
  sequence.priority = aRequest.priority;
  sequence.prefixHashes = PrefixHashes(aRequest.prompt);
  if (!mBatch.Add(std::move(sequence))) {
    return nullptr;
  }
  mStreams[stream->id] = stream;
  mWorkArrived.NotifyAll();
  return stream;
}

Awaitable<void> EngineServer::SendStream(Exchange& aExchange, StreamPointer aStream,
                                         std::uint32_t aOffset)
{
  std::uint32_t next = aOffset;
  bool isConnected = co_await aExchange.BeginEvents();
  ++aStream->readers;
  while (isConnected) {
    if (mOptions.faults.silent) {
      co_await Pause(kReportInterval);
      continue;
    }
    std::string text;
    for (; next < aStream->visible; ++next) {
      text += aStream->TokenEvent(next);
    }
    const bool hasEnded = aStream->HasEnded();
    if (hasEnded) {
      text += aStream->IsComplete() ? "data: [DONE]\n\n" : aStream->ErrorEvent();
    }
    if (text.empty()) {
      text = ": keep-alive\n\n";
    }
    isConnected = co_await aExchange.SendEvents(std::move(text));
    if (hasEnded) {
      break;
    }
    if (next >= aStream->visible && !aStream->HasEnded()) {
      co_await aStream->changed.WaitFor(kKeepAliveInterval);
    }
  }
  --aStream->readers;
  aStream->lastUse = Now();
  if (isConnected) {
    co_await aExchange.EndEvents();
  } else {
    aExchange.Drop();
  }
}

Awaitable<void> EngineServer::SendCompletion(Exchange& aExchange, StreamPointer aStream)
{
  ++aStream->readers;
  while (!aStream->HasEnded() || mOptions.faults.silent) {
    co_await aStream->changed.WaitFor(kKeepAliveInterval);
  }
  --aStream->readers;
  if (!aStream->IsComplete()) {
    co_await aExchange.ReplyError(500, aStream->error, "request did not finish");
    co_return;
  }
  boost::json::value body = aStream->CompletionBody();
  co_await aExchange.ReplyJson(200, std::move(body));
}

Awaitable<void> EngineServer::HandleResume(Exchange& aExchange, const std::string& aId)
{
  const std::map<std::string, StreamPointer>::iterator it = mStreams.find(aId);
  if (it == mStreams.end()) {
    co_await aExchange.ReplyError(404, "unknown_stream", "no stream " + aId);
    co_return;
  }
  const StreamPointer stream = it->second;
  const std::int64_t offset = aExchange.IntegerParameter("offset", 0);
  if (offset < 0 || offset > stream->maxTokens) {
    co_await aExchange.ReplyError(400, "bad_request", "offset is outside the stream");
    co_return;
  }
  ++mCounters.resumed;
  co_await SendStream(aExchange, stream, static_cast<std::uint32_t>(offset));
}

Awaitable<void> EngineServer::HandleCancel(Exchange& aExchange, const std::string& aId)
{
  const std::map<std::string, StreamPointer>::iterator it = mStreams.find(aId);
  const bool isKnown = it != mStreams.end();
  bool hasStarted = isKnown;
  bool isCancelled = !isKnown;
  if (isKnown && !it->second->HasEnded()) {
    // A sequence that is no longer in the batch is in its last step and has therefore started.
    hasStarted = mBatch.Remove(aId, Now()).value_or(true);
    it->second->error = "cancelled";
    it->second->changed.NotifyAll();
    isCancelled = true;
    ++mCounters.cancelled;
  }
  mCancelledIds.insert(aId);
  boost::json::value body{ { "request_id", aId },
                           { "cancelled", isCancelled },
                           { "started", hasStarted } };
  co_await aExchange.ReplyJson(200, std::move(body));
}

Awaitable<void> EngineServer::RunSteps()
{
  while (true) {
    const BatchStep step = mBatch.Step(Now());
    if (step.duration == Duration::zero()) {
      co_await mWorkArrived.WaitFor(kIdleWait);
      RemoveExpiredStreams();
      continue;
    }
    co_await Pause(FromSeconds(ToSeconds(Scaled(step.duration)) * mOptions.faults.slowFactor));
    Publish(step);
  }
}

void EngineServer::Publish(const BatchStep& aStep)
{
  for (const std::string& id : aStep.advanced) {
    const std::map<std::string, StreamPointer>::iterator it = mStreams.find(id);
    if (it == mStreams.end() || it->second->HasEnded()) {
      continue;
    }
    Stream& stream = *it->second;
    ++stream.visible;
    stream.lastUse = Now();
    mCounters.finished += stream.IsComplete() ? 1 : 0;
    stream.changed.NotifyAll();
  }
}

void EngineServer::RemoveExpiredStreams()
{
  const Time now = Now();
  std::erase_if(mStreams, [now](const std::pair<const std::string, StreamPointer>& aEntry) {
    const Stream& stream = *aEntry.second;
    return stream.HasEnded() && stream.readers == 0 && stream.lastUse + kStreamRetention < now;
  });
}

void EngineServer::FailActiveStreams(const std::string& aError)
{
  for (const std::pair<const std::string, StreamPointer>& entry : mStreams) {
    Stream& stream = *entry.second;
    if (!stream.HasEnded()) {
      mBatch.Remove(stream.id, Now());
      stream.error = aError;
      stream.changed.NotifyAll();
      ++mCounters.cutByChange;
    }
  }
}

Duration EngineServer::Scaled(Duration aSpan) const
{
  return FromSeconds(ToSeconds(aSpan) / mOptions.parameters.timeScale);
}

} // namespace masticstep::standins
