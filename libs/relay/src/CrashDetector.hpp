#pragma once

#include "masticstep/dispatch/Backend.hpp"
#include "masticstep/net/ConnectionPool.hpp"
#include "masticstep/quarantine/PromptQuarantine.hpp"
#include "masticstep/telemetry/Metrics.hpp"

#include <map>
#include <memory>
#include <string>

namespace masticstep::relay {

// Finds out whether an engine crashed while it was answering. An engine that breaks off an answer
// and then accepts no connection has crashed; otherwise only that connection was lost.
class CrashDetector : public std::enable_shared_from_this<CrashDetector>
{
public:
  CrashDetector(net::Executor aExecutor, std::shared_ptr<net::ConnectionPool> aPool,
                quarantine::PromptQuarantine& aQuarantine, telemetry::Metrics& aMetrics);

  // Call when an engine has broken off the connection on which it was running a request with these
  // parts.
  void OnBrokenAnswer(const dispatch::Backend& aEngine,
                      std::vector<quarantine::SuspectPart> aSuspects);

private:
  // Connects to the engine and records the crash if that fails.
  net::Task<void> Confirm(dispatch::Backend aEngine, quarantine::EngineCrash aCrash);

  const net::Executor mExecutor;
  const std::shared_ptr<net::ConnectionPool> mPool;
  quarantine::PromptQuarantine& mQuarantine;
  telemetry::Metrics& mMetrics;
  // Suspects of the engine processes that are being connected to.
  std::map<std::string, std::vector<quarantine::SuspectPart>> mUnconfirmed;
  std::map<std::string, Time> mConfirmed; // time of the crash by process
};

} // namespace masticstep::relay
