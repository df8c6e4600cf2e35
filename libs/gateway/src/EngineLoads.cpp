#include "EngineLoads.hpp"

#include "EngineCacheEvents.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/HttpClient.hpp"
#include "masticstep/net/Sleep.hpp"
#include "masticstep/spread/EngineLoadValue.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <optional>
#include <utility>

namespace masticstep::gateway {

namespace {

constexpr Duration kPollInterval = Milliseconds(500);
constexpr net::FetchLimits kPollLimits{ Milliseconds(300), Milliseconds(400), 65536 };

// The positions are the numbers in EngineLoadValue.
constexpr std::array<const char*, 3> kRoles = { "mixed", "prefill", "decode" };
constexpr std::array<const char*, 4> kStates = { "ready", "draining", "changing", "down" };
constexpr std::uint8_t kDown = 3;

template <std::size_t N>
std::uint8_t NumberOf(const std::array<const char*, N>& aNames, const std::string& aName)
{
  const auto found = std::find(aNames.begin(), aNames.end(), aName);
  return static_cast<std::uint8_t>(found == aNames.end() ? 1 : found - aNames.begin());
}

template <std::size_t N>
std::string NameOf(const std::array<const char*, N>& aNames, std::uint8_t aNumber)
{
  return aNumber < N ? aNames[aNumber] : aNames[1];
}

std::uint64_t NumberIn(const boost::json::object& aObject, const char* aKey)
{
  const boost::json::value* found = aObject.if_contains(aKey);
  boost::system::error_code ec;
  return found == nullptr || !found->is_number() ? 0 : found->to_number<std::uint64_t>(ec);
}

std::string TextIn(const boost::json::object& aObject, const char* aKey)
{
  const boost::json::value* found = aObject.if_contains(aKey);
  return found == nullptr || !found->is_string() ? std::string() : std::string(found->get_string());
}

std::optional<EngineLoad> ParseLoad(const EngineId& aEngine, const std::string& aBody)
{
  boost::system::error_code ec;
  const boost::json::value parsed = boost::json::parse(aBody, ec);
  const boost::json::object* object = parsed.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  EngineLoad load;
  load.engine = aEngine;
  load.sequence = NumberIn(*object, "sequence");
  load.age = Milliseconds(static_cast<std::int64_t>(NumberIn(*object, "age_ms")));
  load.running = static_cast<std::uint32_t>(NumberIn(*object, "running"));
  load.waiting = static_cast<std::uint32_t>(NumberIn(*object, "waiting"));
  load.blocksUsed = static_cast<std::uint32_t>(NumberIn(*object, "kv_blocks_used"));
  load.blocksTotal = static_cast<std::uint32_t>(NumberIn(*object, "kv_blocks_total"));
  load.role = TextIn(*object, "role");
  load.state = TextIn(*object, "state");
  return load;
}

std::uint16_t Short(std::uint32_t aNumber)
{
  constexpr std::uint32_t kLargest = std::numeric_limits<std::uint16_t>::max();
  return static_cast<std::uint16_t>(std::min(aNumber, kLargest));
}

EngineLoadValue ValueOf(const EngineLoad& aLoad)
{
  EngineLoadValue value;
  value.sequence = static_cast<std::uint32_t>(aLoad.sequence);
  value.ageMs = static_cast<std::uint32_t>(aLoad.age / Milliseconds(1));
  value.running = Short(aLoad.running);
  value.waiting = Short(aLoad.waiting);
  value.kvBlocksUsed = Short(aLoad.blocksUsed);
  value.kvBlocksTotal = Short(aLoad.blocksTotal);
  value.role = NumberOf(kRoles, aLoad.role);
  value.state = NumberOf(kStates, aLoad.state);
  return value;
}

// Role of this daemon for an engine. Without peers it polls every engine.
OwnerRole RoleOf(const GatewayParts& aParts, const BackendServer& aEngine)
{
  if (!aParts.peering) {
    return OwnerRole::Owner;
  }
  if (aEngine.dataCentre != aParts.settings.dataCentre) {
    return OwnerRole::None;
  }
  return aParts.peering->Role(aEngine.name.Text());
}

void Publish(const GatewayParts& aParts, const EngineId& aEngine, const EngineLoadValue& aValue,
             OwnerRole aRole)
{
  if (!aParts.peering) {
    return;
  }
  const EntryKey key{ EntryKind::EngineLoad, aEngine.Text() };
  if (aRole == OwnerRole::Standby) {
    const std::optional<Entry> known = aParts.peering->Find(key);
    if (known && !known->IsStale() && known->owner != aParts.settings.host) {
      return;
    }
  }
  aParts.peering->Publish(key, Encode(aValue));
}

net::Task<void> PollOne(std::shared_ptr<GatewayParts> aParts, BackendServer aEngine,
                        OwnerRole aRole, std::shared_ptr<EngineCacheEvents> aCacheEvents)
{
  net::HttpRequest request;
  request.target = aEngine.url.path + "/load";
  const Result<net::HttpResponse, net::FetchError> reply =
    co_await net::Fetch(*aParts->pool, AddressOf(aEngine.url), std::move(request), kPollLimits);
  if (!reply) {
    // Only a refused connection proves that the engine is gone; a slow answer may be load.
    if (reply.error().error.kind == net::NetErrorKind::ConnectFailed) {
      aParts->engines->OnUnreachable(aEngine.name, net::Now());
      EngineLoadValue down;
      down.state = kDown;
      Publish(*aParts, aEngine.name, down, aRole);
    }
    co_return;
  }
  const std::optional<EngineLoad> load =
    reply->status == 200 ? ParseLoad(aEngine.name, reply->body) : std::nullopt;
  if (load) {
    aParts->engines->OnLoad(*load, net::Now());
    Publish(*aParts, aEngine.name, ValueOf(*load), aRole);
    co_await aCacheEvents->Poll(std::move(aEngine), load->sequence);
  }
}

void PollAll(const std::shared_ptr<GatewayParts>& aParts, const Configuration& aConfiguration,
             const std::shared_ptr<EngineCacheEvents>& aCacheEvents, const net::Executor& aExecutor)
{
  for (const Service& service : aConfiguration.Services()) {
    if (service.kind != ServiceKind::Model) {
      continue;
    }
    for (const BackendServer& engine : service.backendServers) {
      const OwnerRole role = RoleOf(*aParts, engine);
      if (role != OwnerRole::None) {
        boost::asio::co_spawn(aExecutor, PollOne(aParts, engine, role, aCacheEvents),
                              boost::asio::detached);
      }
    }
  }
}

} // namespace

net::Task<void> PollLoads(std::shared_ptr<GatewayParts> aParts)
{
  const net::Executor executor = co_await boost::asio::this_coro::executor;
  const std::shared_ptr<EngineCacheEvents> events = std::make_shared<EngineCacheEvents>(aParts);
  while (aParts->drain.Phase() != DrainPhase::Stopping || aParts->running.Count() > 0) {
    const ConfigurationPointer configuration = aParts->configuration.Current();
    if (configuration) {
      PollAll(aParts, *configuration, events, executor);
    }
    co_await net::Sleep(kPollInterval);
  }
}

void OnLoadEntry(GatewayParts& aParts, const Entry& aEntry)
{
  const std::optional<EngineLoadValue> value = DecodeEngineLoad(aEntry.value);
  if (!value || aEntry.owner == aParts.settings.host || aEntry.IsStale()) {
    return;
  }
  const EngineId engine{ aEntry.key.name };
  if (value->state == kDown) {
    aParts.engines->OnUnreachable(engine, net::Now());
    return;
  }
  EngineLoad load;
  load.engine = engine;
  load.sequence = value->sequence;
  load.age = aEntry.age + Milliseconds(value->ageMs);
  load.running = value->running;
  load.waiting = value->waiting;
  load.blocksUsed = value->kvBlocksUsed;
  load.blocksTotal = value->kvBlocksTotal;
  load.role = NameOf(kRoles, value->role);
  load.state = NameOf(kStates, value->state);
  aParts.engines->OnLoad(load, net::Now());
}

} // namespace masticstep::gateway
