#include "Refusal.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace masticstep::gateway {

namespace {

constexpr Duration kDrainRetryAfter = Seconds(1);

} // namespace

const char* ToString(RunState aState)
{
  return aState == RunState::NotRun ? "not_run" : "unknown";
}

Refusal BadInput(std::string aMessage)
{
  return { 400, "bad_input", std::move(aMessage), RunState::NotRun, std::nullopt };
}

Refusal Unauthorized()
{
  return { 401, "unknown_key", "the bearer key belongs to no account", RunState::NotRun,
           std::nullopt };
}

Refusal NotFound(std::string aMessage)
{
  return { 404, "not_found", std::move(aMessage), RunState::NotRun, std::nullopt };
}

Refusal Draining()
{
  return { 503, "draining", "this host is shutting down", RunState::NotRun, kDrainRetryAfter };
}

std::string ErrorObject(const Refusal& aRefusal, const std::string& aRequestId)
{
  const boost::json::object error{ { "type", aRefusal.type },
                                   { "message", aRefusal.message },
                                   { "request_id", aRequestId },
                                   { "run", ToString(aRefusal.run) } };
  return boost::json::serialize(boost::json::object{ { "error", error } });
}

net::HttpResponse ToResponse(const Refusal& aRefusal, const std::string& aRequestId)
{
  net::HttpResponse response =
    net::JsonResponse(aRefusal.status, ErrorObject(aRefusal, aRequestId));
  response.headers.push_back({ "X-Request-Id", aRequestId });
  if (aRefusal.retryAfter) {
    const std::int64_t seconds =
      std::chrono::ceil<std::chrono::seconds>(*aRefusal.retryAfter).count();
    const std::string text = std::to_string(std::max<std::int64_t>(seconds, 1));
    response.headers.push_back({ "Retry-After", text });
  }
  if (aRefusal.status == 401) {
    response.headers.push_back({ "WWW-Authenticate", "Bearer" });
  }
  return response;
}

std::string ErrorEvent(const Refusal& aRefusal, const std::string& aRequestId)
{
  return "event: error\ndata: " + ErrorObject(aRefusal, aRequestId) + "\n\n";
}

} // namespace masticstep::gateway
