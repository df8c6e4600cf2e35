#pragma once

#include "RelayFixture.hpp"
#include "masticstep/relay/RelayDaemon.hpp"

#include <thread>

namespace masticstep::relay {

// Daemon that runs in a thread, with constant routes and backend servers and a store that never
// completes a request.
class DaemonFixture
{
public:
  // Returns once the daemon is ready.
  DaemonFixture(Duration aGrace, std::vector<dispatch::Route> aRoutes,
                std::vector<dispatch::Backend> aBackends);
  // Stops the daemon unless it has ended.
  ~DaemonFixture();
  DaemonFixture(const DaemonFixture&) = delete;
  DaemonFixture& operator=(const DaemonFixture&) = delete;

  // Stops all daemons of this process, as a signal does.
  static void StopAll();
  // Waits until the daemon has ended.
  void WaitForEnd();
  net::HostPort CallerAddress() const { return { "127.0.0.1", mCallerPort }; }
  // Returns the beginning of the answer to a readiness probe: the HTTP version and the status.
  std::string QueryReadiness() const;

private:
  boost::asio::io_context mGuardContext;
  // Keeps a signal that comes after the end of the daemon from ending the test program.
  boost::asio::signal_set mSignalGuard;
  std::unique_ptr<RelayDaemon> mDaemon;
  std::uint16_t mCallerPort = 0;
  std::uint16_t mReadinessPort = 0;
  std::thread mLoop;
};

// Backend server of a daemon under test.
dispatch::Backend MakeBackend(const std::string& aId, const std::string& aService,
                              const ScriptedBackend& aServer,
                              dispatch::Stage aStage = dispatch::Stage::Whole);

} // namespace masticstep::relay
