#include "CacheEventPoller.hpp"

#include "masticstep/net/Clock.hpp"
#include "masticstep/net/HttpClient.hpp"

#include <string>
#include <utility>

namespace masticstep::gateway {

namespace {

// Engines publish events with a delay of about 0.5 s, so polling more often gains little.
constexpr Duration kEventInterval = Seconds(1);
// 4,000 events, enough to fill an engine's cache twice, take about 300 KB.
constexpr net::FetchLimits kEventLimits{ Milliseconds(300), Milliseconds(400), 524288 };

} // namespace

CacheEventPoller::CacheEventPoller(std::shared_ptr<GatewayParts> aParts)
  : mParts(std::move(aParts))
{
}

net::Task<void> CacheEventPoller::Poll(BackendServer aEngine, std::uint64_t aLoadSequence)
{
  const Time now = net::Now();
  PollState& state =
    mStates.try_emplace(aEngine.name, PollState{ CacheEventReader(aEngine.name), now })
      .first->second;
  state.reader.OnLoadReport(aLoadSequence);
  if (now < state.next) {
    co_return;
  }
  state.next = now + kEventInterval;
  const std::uint64_t after = state.reader.After();
  net::HttpRequest request;
  request.target = aEngine.url.path + "/cache-events?after=" + std::to_string(after);
  const Result<net::HttpResponse, net::FetchError> reply =
    co_await net::Fetch(*mParts->pool, AddressOf(aEngine.url), std::move(request), kEventLimits);
  if (!reply) {
    if (reply.error().error.kind == net::NetErrorKind::BodyTooLarge) {
      state.reader.SkipEvents();
    }
    co_return;
  }
  if (reply->status != 200) {
    co_return;
  }
  const std::optional<std::vector<EngineCacheEvent>> events =
    state.reader.Parse(reply->body, after);
  if (!events) {
    co_return;
  }
  for (const EngineCacheEvent& event : *events) {
    mParts->engines->OnCacheEvent(event, net::Now());
  }
}

} // namespace masticstep::gateway
