// EngineServer: orders, cache transfer, load reports and control API.
#include "engine_standin/EngineServer.hpp"

#include "common/GeneratedText.hpp"
#include "common/JsonFields.hpp"
#include "common/TokenBucket.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include <charconv>
#include <cstdlib>
#include <iostream>

namespace masticstep::standins {

namespace {

constexpr Duration kReportInterval = Milliseconds(50);
// Size of a prefix cache entry at 128 KiB per token, and bandwidth of the transfer link, 10 GB/s.
constexpr std::uint64_t kEntryKvBytes = kTokensPerHash * 128ULL * 1024;
constexpr double kLinkBytesPerSecond = 10e9;
constexpr int kHexBase = 16;

std::string HashText(std::uint64_t aHash)
{
  constexpr std::size_t kDigits = 16;
  std::string text(kDigits, '0');
  for (std::size_t i = kDigits; i > 0; --i) {
    text[i - 1] = "0123456789abcdef"[aHash % kDigits];
    aHash /= kDigits;
  }
  return text;
}

std::vector<std::uint64_t> HashesField(const boost::json::object& aBody)
{
  std::vector<std::uint64_t> hashes;
  for (const std::string& text : StringArrayField(aBody, "hashes")) {
    std::uint64_t hash = 0;
    std::from_chars(text.data(), text.data() + text.size(), hash, kHexBase);
    hashes.push_back(hash);
  }
  return hashes;
}

Duration TransferTime(std::size_t aEntries)
{
  return FromSeconds(static_cast<double>(aEntries * kEntryKvBytes) / kLinkBytesPerSecond);
}

bool IsOrderKind(const std::string& aKind)
{
  return aKind == "set_role" || aKind == "load_model" || aKind == "load_adapter" ||
         aKind == "load_version" || aKind == "drain";
}

} // namespace

Awaitable<void> EngineServer::HandleOrder(Exchange& aExchange)
{
  const std::optional<boost::json::object> body = aExchange.JsonBody();
  EngineOrder order;
  if (body) {
    order = { StringField(*body, "order_id"), IntegerField(*body, "fencing", 0),
              StringField(*body, "kind"), StringField(*body, "argument") };
  }
  EngineRole role = EngineRole::Mixed;
  const bool isValid = !order.id.empty() && IsOrderKind(order.kind) &&
                       (order.kind != "set_role" || ParseRole(order.argument, role));
  if (!isValid) {
    co_await aExchange.ReplyError(400, "bad_request",
                                  "order_id is missing, or kind or argument is invalid");
    co_return;
  }
  const OrderOutcome outcome = mOrders.Submit(order);
  if (outcome == OrderOutcome::OldFencing || outcome == OrderOutcome::Conflict) {
    const bool isOldFencing = outcome == OrderOutcome::OldFencing;
    co_await aExchange.ReplyError(409, isOldFencing ? "old_fencing" : "conflict",
                                  isOldFencing ? "fencing number is older than the newest one seen"
                                               : "another order is running");
    co_return;
  }
  if (outcome == OrderOutcome::Accepted) {
    asio::co_spawn(co_await asio::this_coro::executor, RunOrder(order), asio::detached);
    // Lets the order start, so that the response to an instantaneous order reports "done".
    co_await Pause(Milliseconds(1));
  }
  boost::json::value reply = LastOrderJson();
  co_await aExchange.ReplyJson(200, std::move(reply));
}

Awaitable<void> EngineServer::RunOrder(EngineOrder aOrder)
{
  const bool isDrain = aOrder.kind == "drain";
  const bool isRoleChange = aOrder.kind == "set_role";
  if (isRoleChange) {
    mIsChanging = true;
    FailActiveStreams("role_change");
  }
  if (!isDrain) {
    const EngineParameters& parameters = mOptions.parameters;
    const Duration duration = Scaled(isRoleChange ? parameters.roleChange : parameters.modelLoad);
    co_await Pause(duration / 2);
    if (mOptions.faults.crashInChange) {
      std::_Exit(EXIT_FAILURE);
    }
    co_await Pause(duration / 2);
  }
  if (isDrain) {
    mIsDraining = aOrder.argument != "off";
  } else if (isRoleChange) {
    EngineRole role = EngineRole::Mixed;
    ParseRole(aOrder.argument, role);
    mBatch.SetRole(role);
    mIsChanging = false;
    ++mCounters.roleChanges;
  } else {
    mOptions.models.push_back(aOrder.argument);
  }
  mOrders.Finish();
}

boost::json::value EngineServer::LastOrderJson() const
{
  const EngineOrderRecord& last = *mOrders.Last();
  return { { "order_id", last.order.id },
           { "fencing", last.order.fencing },
           { "kind", last.order.kind },
           { "argument", last.order.argument },
           { "state", last.isDone ? "done" : "running" } };
}

Awaitable<void> EngineServer::HandleCacheExport(Exchange& aExchange)
{
  const boost::json::object body = aExchange.JsonBody().value_or(boost::json::object{});
  const std::string prompt = StringField(body, "prompt");
  std::vector<std::uint64_t> hashes = prompt.empty() ? HashesField(body) : PrefixHashes(prompt);
  hashes.resize(mMemory.CachedPrefix(hashes));
  co_await Pause(TransferTime(hashes.size()));
  boost::json::array texts;
  for (const std::uint64_t hash : hashes) {
    texts.emplace_back(HashText(hash));
  }
  boost::json::value reply{ { "hashes", std::move(texts) },
                            { "bytes", hashes.size() * kEntryKvBytes } };
  co_await aExchange.ReplyJson(200, std::move(reply));
}

Awaitable<void> EngineServer::HandleCacheImport(Exchange& aExchange)
{
  const boost::json::object body = aExchange.JsonBody().value_or(boost::json::object{});
  const std::vector<std::uint64_t> hashes = HashesField(body);
  co_await Pause(TransferTime(hashes.size()));
  boost::json::value reply{ { "imported", mMemory.Import(hashes, Now()) } };
  co_await aExchange.ReplyJson(200, std::move(reply));
}

Awaitable<void> EngineServer::HandleControl(Exchange& aExchange)
{
  const std::string& path = aExchange.Path();
  const bool isGet = aExchange.Method() == "GET";
  boost::json::value reply;
  if (isGet && path == "/load") {
    reply = LoadJson();
  } else if (isGet && path == "/cache-events") {
    reply = CacheEventsJson(static_cast<std::uint64_t>(aExchange.IntegerParameter("after", 0)));
  } else if (isGet && path == "/orders/last" && mOrders.Last()) {
    reply = LastOrderJson();
  } else if (isGet && path == "/standin/counters") {
    reply = CountersJson();
  } else if (!isGet && path == "/standin/faults" && aExchange.JsonBody()) {
    const boost::json::object body = *aExchange.JsonBody();
    if (BooleanField(body, "crash", false)) {
      std::_Exit(EXIT_FAILURE);
    }
    ApplyEngineFaults(body, mOptions.faults);
    mCacheEvents.SetFaults(mOptions.faults.cacheEventDelay, mOptions.faults.cacheEventLoss);
    reply = boost::json::object{};
  } else {
    co_await aExchange.ReplyError(404, "not_found", "unknown call: " + path);
    co_return;
  }
  co_await aExchange.ReplyJson(200, std::move(reply));
}

Awaitable<void> EngineServer::RunReports()
{
  while (true) {
    mReports.Append(TakeSnapshot());
    co_await Pause(kReportInterval);
  }
}

std::string EngineServer::StateText() const
{
  if (mIsChanging) {
    return "changing";
  }
  return mIsDraining ? "draining" : "ready";
}

LoadSnapshot EngineServer::TakeSnapshot() const
{
  return { 0,
           Now(),
           mBatch.Running(),
           mBatch.Waiting(),
           mMemory.InUse(),
           ToString(mBatch.Role()),
           mOptions.models,
           StateText() };
}

boost::json::value EngineServer::LoadJson() const
{
  const Time now = Now();
  const LoadSnapshot load = mReports.Read(now, mOptions.faults.loadLag);
  boost::json::array models;
  for (const std::string& model : load.models) {
    models.emplace_back(model);
  }
  return { { "engine", mOptions.name },
           { "sequence", load.sequence },
           { "age_ms", (now - load.takenAt) / Milliseconds(1) },
           { "running", load.running },
           { "waiting", load.waiting },
           { "kv_blocks_used", load.blocksUsed },
           { "kv_blocks_total", mMemory.Total() },
           { "role", load.role },
           { "models", std::move(models) },
           { "state", load.state } };
}

boost::json::value EngineServer::CacheEventsJson(std::uint64_t aAfter) const
{
  std::uint64_t next = 0;
  boost::json::array events;
  for (const CacheEventRecord& event : mCacheEvents.After(aAfter, Now(), next)) {
    events.emplace_back(boost::json::object{ { "sequence", event.sequence },
                                             { "kind", event.isStored ? "stored" : "removed" },
                                             { "hash", HashText(event.hash) } });
  }
  return { { "next", next }, { "events", std::move(events) } };
}

boost::json::value EngineServer::CountersJson() const
{
  const BatchCounters& batch = mBatch.Counters();
  const EngineOrderCounters& orders = mOrders.Counters();
  return { { "requests", mCounters.requests },
           { "refused", mCounters.refused },
           { "finished", mCounters.finished },
           { "cancelled", mCounters.cancelled },
           { "resumed", mCounters.resumed },
           { "duplicates", mCounters.duplicates },
           { "cut_by_change", mCounters.cutByChange },
           { "role_changes", mCounters.roleChanges },
           { "prefill_tokens", batch.prefillTokens },
           { "cached_tokens", batch.cachedTokens },
           { "generated_tokens", batch.generatedTokens },
           { "preemptions", batch.preemptions },
           { "orders_accepted", orders.accepted },
           { "orders_repeated", orders.repeated },
           { "orders_refused_fencing", orders.refusedFencing },
           { "orders_conflicting", orders.conflicts },
           { "orders_accepted_old_fencing", orders.acceptedOldFencing } };
}

} // namespace masticstep::standins
