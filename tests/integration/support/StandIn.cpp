#include "support/StandIn.hpp"

#include "common/JsonFields.hpp"

#include <stdexcept>

namespace masticstep::integration {

namespace {

constexpr Duration kStartLimit = Seconds(30);

} // namespace

StandIn::StandIn(const std::string& aProgram, const std::vector<std::string>& aArguments,
                 const std::string& aFile)
  : mProcess(aProgram, aArguments, aFile)
{
  standins::HttpReply line;
  line.body = mProcess.FirstLine(kStartLimit);
  const boost::json::object fields = line.Json();
  const std::string address = standins::StringField(fields, "address");
  const std::string control = standins::StringField(fields, "control");
  const Result<standins::Address, std::string> bound = standins::ParseAddress(address);
  if (!bound) {
    throw std::runtime_error(aProgram + " did not start: " + mProcess.ErrorText());
  }
  mAddress = *bound;
  mControl = standins::ParseAddress(control).value_or(mAddress);
}

void StandIn::SetFaults(const boost::json::value& aFaults)
{
  standins::HttpCall call;
  call.server = mControl;
  call.method = "POST";
  call.target = "/standin/faults";
  call.body = boost::json::serialize(aFaults);
  const standins::HttpReply reply = standins::FetchBlocking(call);
  if (reply.status != 200) {
    throw std::runtime_error("faults were not set: " + reply.error + reply.body);
  }
}

std::uint64_t StandIn::Counter(const std::string& aName) const
{
  standins::HttpCall call;
  call.server = mControl;
  call.target = "/standin/counters";
  const standins::HttpReply reply = standins::FetchBlocking(call);
  const boost::json::object counters = reply.Json();
  if (!counters.contains(aName)) {
    throw std::runtime_error("no counter " + aName + " in " + reply.body + reply.error);
  }
  return static_cast<std::uint64_t>(standins::IntegerField(counters, aName, 0));
}

standins::HttpReply StandIn::Get(const std::string& aTarget) const
{
  standins::HttpCall call;
  call.server = mAddress;
  call.target = aTarget;
  return standins::FetchBlocking(call);
}

standins::HttpReply StandIn::Put(const std::string& aTarget, const std::string& aBody) const
{
  standins::HttpCall call;
  call.server = mAddress;
  call.method = "PUT";
  call.target = aTarget;
  call.body = aBody;
  return standins::FetchBlocking(call);
}

} // namespace masticstep::integration
