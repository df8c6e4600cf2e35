#include "EngineLoads.hpp"

#include "CacheEventPoller.hpp"
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

// The indices are the codes in EngineLoadValue.
constexpr std::array<const char*, 3> kRoles = { "mixed", "prefill", "decode" };
constexpr std::array<const char*, 4> kStates = { "ready", "draining", "changing", "down" };
constexpr std::uint8_t kDownState = 3;

template <std::size_t N>
std::uint8_t IndexOf(const std::array<const char*, N>& aNames, const std::string& aName)
{
  const auto found = std::find(aNames.begin(), aNames.end(), aName);
  return static_cast<std::uint8_t>(found == aNames.end() ? 1 : found - aNames.begin());
}

template <std::size_t N>
std::string NameAt(const std::array<const char*, N>& aNames, std::uint8_t aNumber)
{
  return aNumber < N ? aNames[aNumber] : aNames[1];
}

std::uint64_t GetNumber(const boost::json::object& aObject, const char* aKey)
{
  const boost::json::value* found = aObject.if_contains(aKey);
  boost::system::error_code ec;
  return found == nullptr || !found->is_number() ? 0 : found->to_number<std::uint64_t>(ec);
}

std::string GetString(const boost::json::object& aObject, const char* aKey)
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
  load.sequence = GetNumber(*object, "sequence");
  load.age = Milliseconds(static_cast<std::int64_t>(GetNumber(*object, "age_ms")));
  load.running = static_cast<std::uint32_t>(GetNumber(*object, "running"));
  load.waiting = static_cast<std::uint32_t>(GetNumber(*object, "waiting"));
  load.blocksUsed = static_cast<std::uint32_t>(GetNumber(*object, "kv_blocks_used"));
  load.blocksTotal = static_cast<std::uint32_t>(GetNumber(*object, "kv_blocks_total"));
  load.role = GetString(*object, "role");
  load.state = GetString(*object, "state");
  return load;
}

std::uint16_t ClampToUint16(std::uint32_t aNumber)
{
  constexpr std::uint32_t kLargest = std::numeric_limits<std::uint16_t>::max();
  return static_cast<std::uint16_t>(std::min(aNumber, kLargest));
}

EngineLoadValue ToLoadValue(const EngineLoad& aLoad)
{
  EngineLoadValue value;
  value.sequence = static_cast<std::uint32_t>(aLoad.sequence);
  value.ageMs = static_cast<std::uint32_t>(aLoad.age / Milliseconds(1));
  value.running = ClampToUint16(aLoad.running);
  value.waiting = ClampToUint16(aLoad.waiting);
  value.kvBlocksUsed = ClampToUint16(aLoad.blocksUsed);
  value.kvBlocksTotal = ClampToUint16(aLoad.blocksTotal);
  value.role = IndexOf(kRoles, aLoad.role);
  value.state = IndexOf(kStates, aLoad.state);
  return value;
}

// Returns the role in which this daemon polls an engine. Without peering it polls every engine.
OwnerRole PollingRole(const GatewayParts& aParts, const BackendServer& aEngine)
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

net::Task<void> PollEngine(std::shared_ptr<GatewayParts> aParts, BackendServer aEngine,
                           OwnerRole aRole, std::shared_ptr<CacheEventPoller> aCacheEvents)
{
  net::HttpRequest request;
  request.target = aEngine.url.path + "/load";
  const Result<net::HttpResponse, net::FetchError> reply =
    co_await net::Fetch(*aParts->pool, AddressOf(aEngine.url), std::move(request), kPollLimits);
  if (!reply) {
    // Only a refused connection proves that the engine is down; a slow response may be due to load.
    if (reply.error().error.kind == net::NetErrorKind::ConnectFailed) {
      aParts->engines->OnUnreachable(aEngine.name, net::Now());
      EngineLoadValue down;
      down.state = kDownState;
      Publish(*aParts, aEngine.name, down, aRole);
    }
    co_return;
  }
  const std::optional<EngineLoad> load =
    reply->status == 200 ? ParseLoad(aEngine.name, reply->body) : std::nullopt;
  if (load) {
    aParts->engines->OnLoad(*load, net::Now());
    Publish(*aParts, aEngine.name, ToLoadValue(*load), aRole);
    co_await aCacheEvents->Poll(std::move(aEngine), load->sequence);
  }
}

void StartPolls(const std::shared_ptr<GatewayParts>& aParts, const Configuration& aConfiguration,
                const std::shared_ptr<CacheEventPoller>& aCacheEvents,
                const net::Executor& aExecutor)
{
  for (const Service& service : aConfiguration.Services()) {
    if (service.kind != ServiceKind::Model) {
      continue;
    }
    for (const BackendServer& engine : service.backendServers) {
      const OwnerRole role = PollingRole(*aParts, engine);
      if (role != OwnerRole::None) {
        boost::asio::co_spawn(aExecutor, PollEngine(aParts, engine, role, aCacheEvents),
                              boost::asio::detached);
      }
    }
  }
}

} // namespace

net::Task<void> PollLoads(std::shared_ptr<GatewayParts> aParts)
{
  const net::Executor executor = co_await boost::asio::this_coro::executor;
  const std::shared_ptr<CacheEventPoller> events = std::make_shared<CacheEventPoller>(aParts);
  while (aParts->drain.Phase() != DrainPhase::Stopping || aParts->running.Count() > 0) {
    const ConfigurationPointer configuration = aParts->configuration.Current();
    if (configuration) {
      StartPolls(aParts, *configuration, events, executor);
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
  if (value->state == kDownState) {
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
  load.role = NameAt(kRoles, value->role);
  load.state = NameAt(kStates, value->state);
  aParts.engines->OnLoad(load, net::Now());
}

} // namespace masticstep::gateway
