#include "LoadPoller.hpp"

#include "masticstep/net/Clock.hpp"
#include "masticstep/net/HttpClient.hpp"
#include "masticstep/net/Sleep.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/json.hpp>

#include <utility>

namespace masticstep::gateway {

namespace {

constexpr Duration kPollInterval = Milliseconds(500);
// Requests are released at once when another one ends; this only bounds how late a deadline or
// newly reported room is noticed.
constexpr Duration kPumpInterval = Milliseconds(20);
constexpr net::FetchLimits kPollLimits{ Milliseconds(300), Milliseconds(400), 65536 };

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

net::Task<void> PollOne(std::shared_ptr<GatewayParts> aParts, BackendServer aEngine)
{
  net::HttpRequest request;
  request.target = aEngine.url.path + "/load";
  const Result<net::HttpResponse, net::FetchError> reply =
    co_await net::Fetch(*aParts->pool, AddressOf(aEngine.url), std::move(request), kPollLimits);
  if (!reply) {
    const bool isRefused = reply.error().error.kind == net::NetErrorKind::ConnectFailed;
    if (isRefused) {
      aParts->engines->OnUnreachable(aEngine.name, net::Now());
    }
    co_return;
  }
  const std::optional<EngineLoad> load =
    reply->status == 200 ? ParseLoad(aEngine.name, reply->body) : std::nullopt;
  if (load) {
    aParts->engines->OnLoad(*load, net::Now());
  }
}

void PollAll(const std::shared_ptr<GatewayParts>& aParts, const Configuration& aConfiguration,
             const net::Executor& aExecutor)
{
  for (const Service& service : aConfiguration.Services()) {
    if (service.kind != ServiceKind::Model) {
      continue;
    }
    for (const BackendServer& engine : service.backendServers) {
      boost::asio::co_spawn(aExecutor, PollOne(aParts, engine), boost::asio::detached);
    }
  }
}

void UpdateCapacities(GatewayParts& aParts, const Configuration& aConfiguration, Time aNow)
{
  for (const Service& service : aConfiguration.Services()) {
    const std::optional<std::uint64_t> tokens = aParts.engines->Capacity(service.name, aNow);
    if (service.kind == ServiceKind::Model && tokens) {
      aParts.admission.SetCapacity(service.name, *tokens);
    }
  }
}

} // namespace

net::Task<void> PollLoads(std::shared_ptr<GatewayParts> aParts)
{
  const net::Executor executor = co_await boost::asio::this_coro::executor;
  while (aParts->drain.Phase() != DrainPhase::Stopping || aParts->running.Count() > 0) {
    const ConfigurationPointer configuration = aParts->configuration.Current();
    if (configuration) {
      PollAll(aParts, *configuration, executor);
    }
    co_await net::Sleep(kPollInterval);
  }
}

net::Task<void> PumpAdmission(std::shared_ptr<GatewayParts> aParts)
{
  while (aParts->drain.Phase() != DrainPhase::Stopping || aParts->running.Count() > 0) {
    const ConfigurationPointer configuration = aParts->configuration.Current();
    const Time now = net::Now();
    if (configuration) {
      UpdateCapacities(*aParts, *configuration, now);
    }
    aParts->admission.OnTime(now);
    co_await net::Sleep(kPumpInterval);
  }
}

} // namespace masticstep::gateway
