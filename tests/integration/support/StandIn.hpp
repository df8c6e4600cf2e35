#pragma once

#include "common/HttpClient.hpp"
#include "support/Process.hpp"

namespace masticstep::integration {

// A running stand-in and its control calls.
class StandIn
{
public:
  // Starts the program and waits for its address; throws std::runtime_error without one.
  StandIn(const std::string& aProgram, const std::vector<std::string>& aArguments,
          const std::string& aFile);

  const standins::Address& Address() const { return mAddress; }
  std::string Url() const { return "http://" + mAddress.Text(); }
  // Posts an object such as {"outage": true} to /standin/faults.
  void SetFaults(const boost::json::value& aFaults);
  // Returns one number of /standin/counters; throws if there is none of that name.
  std::uint64_t Counter(const std::string& aName) const;
  standins::HttpReply Get(const std::string& aTarget) const;
  standins::HttpReply Put(const std::string& aTarget, const std::string& aBody) const;
  Process& Child() { return mProcess; }

private:
  Process mProcess;
  standins::Address mAddress;
  standins::Address mControl; // the address itself, but for the proxy
};

} // namespace masticstep::integration
