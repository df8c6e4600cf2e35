#include "AdminHandler.hpp"

#include "HealthPages.hpp"
#include "Refusal.hpp"
#include "masticstep/net/Clock.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace masticstep::gateway {

namespace {

const char* ToString(DrainPhase aPhase)
{
  switch (aPhase) {
    case DrainPhase::Serving:
      return "serving";
    case DrainPhase::Leaving:
      return "leaving";
    case DrainPhase::Stopping:
      return "stopping";
  }
  return "stopping";
}

boost::json::array StatusOf(const EngineSelector& aSelector)
{
  boost::json::array engines;
  for (const EngineStatus& engine : aSelector.Status(net::Now())) {
    engines.push_back(boost::json::object{ { "name", engine.engine.Text() },
                                           { "state", engine.state },
                                           { "in_flight", engine.inFlight } });
  }
  return engines;
}

const char* ToString(MemberState aState)
{
  switch (aState) {
    case MemberState::Alive:
      return "alive";
    case MemberState::Suspect:
      return "suspect";
    case MemberState::Dead:
      return "dead";
    case MemberState::Left:
      return "left";
  }
  return "dead";
}

boost::json::array Members(const GatewayParts& aParts)
{
  boost::json::array members;
  if (!aParts.peering) {
    return members;
  }
  for (const MemberRecord& member : aParts.peering->Members()) {
    members.push_back(boost::json::object{ { "host", member.name.Text() },
                                           { "data_centre", member.dataCentre.Text() },
                                           { "region", member.region.Text() },
                                           { "address", member.address },
                                           { "state", ToString(member.state) } });
  }
  return members;
}

} // namespace

AdminHandler::AdminHandler(std::shared_ptr<GatewayParts> aParts, std::function<void()> aDrain)
  : mParts(std::move(aParts))
  , mDrain(std::move(aDrain))
{
}

net::Task<void> AdminHandler::Handle(net::HttpRequest aRequest, net::HttpResponder& aResponder)
{
  const std::optional<net::HttpResponse> page = HealthPage(*mParts, aRequest);
  if (page) {
    co_await aResponder.Send(*page);
    co_return;
  }
  if (aRequest.method == "GET" && aRequest.Path() == "/status") {
    co_await aResponder.Send(net::JsonResponse(200, StatusText()));
    co_return;
  }
  if (aRequest.method == "POST" && aRequest.Path() == "/drain") {
    mDrain();
    co_await aResponder.Send(net::JsonResponse(202, R"({"state":"draining"})"));
    co_return;
  }
  co_await aResponder.Send(ToResponse(NotFound("no such path"), mParts->names.Next().text));
}

std::string AdminHandler::StatusText() const
{
  const ConfigurationPointer configuration = mParts->configuration.Current();
  const Settings& settings = mParts->settings;
  return boost::json::serialize(
    boost::json::object{ { "host", settings.host.Text() },
                         { "region", settings.region.Text() },
                         { "data_centre", settings.dataCentre.Text() },
                         { "state", ToString(mParts->drain.Phase()) },
                         { "generation", configuration ? configuration->Generation() : 0 },
                         { "members", Members(*mParts) },
                         { "engines", StatusOf(*mParts->engines) },
                         { "servers", StatusOf(*mParts->servers) },
                         { "running_requests", mParts->running.Count() },
                         { "waiting_requests", mParts->admission.Waiting() } });
}

net::HttpResponse AdminHandler::Refuse(unsigned aStatus, const net::NetError& aError)
{
  Refusal refusal = BadInput(net::ToString(aError));
  refusal.status = aStatus;
  return ToResponse(refusal, mParts->names.Next().text);
}

} // namespace masticstep::gateway
