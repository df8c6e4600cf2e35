#include "Refusal.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <cstdio>
#include <utility>

namespace masticstep::relay {

Refusal NotExecutedRefusal(std::string aReason, std::string aMessage, Duration aRetryAfter)
{
  return { 503, std::move(aReason), std::move(aMessage), aRetryAfter };
}

Refusal PossiblyExecutedRefusal(std::string aReason, std::string aMessage)
{
  return { 502, std::move(aReason), std::move(aMessage), std::nullopt };
}

Refusal UnauthenticatedRefusal()
{
  return { kUnauthorized, "unauthenticated", "no client account holds the key that was presented",
           std::nullopt };
}

net::HttpResponse ToResponse(const Refusal& aRefusal)
{
  const boost::json::object body{ { "error", aRefusal.message }, { "reason", aRefusal.reason } };
  net::HttpResponse response = net::JsonResponse(aRefusal.status, boost::json::serialize(body));
  if (aRefusal.retryAfter) {
    char text[32];
    std::snprintf(text, sizeof(text), "%.3f", ToSeconds(*aRefusal.retryAfter));
    response.headers.push_back({ "Retry-After", text });
  }
  return response;
}

} // namespace masticstep::relay
