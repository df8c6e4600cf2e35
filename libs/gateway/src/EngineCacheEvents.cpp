#include "EngineCacheEvents.hpp"

#include "masticstep/net/Clock.hpp"
#include "masticstep/net/HttpClient.hpp"

#include <string>
#include <utility>

namespace masticstep::gateway {

namespace {

// Engines publish events about half a second late, so that asking more often gains little.
constexpr Duration kEventInterval = Seconds(1);
// 4,000 events, two fills of an engine's cache, take about 300 KB.
constexpr net::FetchLimits kEventLimits{ Milliseconds(300), Milliseconds(400), 524288 };

} // namespace

EngineCacheEvents::EngineCacheEvents(std::shared_ptr<GatewayParts> aParts)
  : mParts(std::move(aParts))
{
}

net::Task<void> EngineCacheEvents::Poll(BackendServer aEngine, std::uint64_t aLoadSequence)
{
  const Time now = net::Now();
  Position& position =
    mPositions.try_emplace(aEngine.name, Position{ CacheEventReader(aEngine.name), now })
      .first->second;
  position.reader.OnLoadReport(aLoadSequence);
  if (now < position.next) {
    co_return;
  }
  position.next = now + kEventInterval;
  const std::uint64_t after = position.reader.After();
  net::HttpRequest request;
  request.target = aEngine.url.path + "/cache-events?after=" + std::to_string(after);
  const Result<net::HttpResponse, net::FetchError> reply =
    co_await net::Fetch(*mParts->pool, AddressOf(aEngine.url), std::move(request), kEventLimits);
  if (!reply) {
    if (reply.error().error.kind == net::NetErrorKind::BodyTooLarge) {
      position.reader.SkipEvents();
    }
    co_return;
  }
  if (reply->status != 200) {
    co_return;
  }
  const std::optional<std::vector<EngineCacheEvent>> events =
    position.reader.Read(reply->body, after);
  if (!events) {
    co_return;
  }
  for (const EngineCacheEvent& event : *events) {
    mParts->engines->OnCacheEvent(event, net::Now());
  }
}

} // namespace masticstep::gateway
