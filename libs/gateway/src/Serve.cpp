#include "masticstep/gateway/Serve.hpp"

#include "Daemon.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <sys/resource.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace masticstep::gateway {

namespace {

telemetry::Level ToLevel(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return telemetry::Level::Debug;
    case LogLevel::Info:
      return telemetry::Level::Info;
    case LogLevel::Warning:
      return telemetry::Level::Warning;
    case LogLevel::Error:
      return telemetry::Level::Error;
  }
  return telemetry::Level::Info;
}

// Raises the soft limit of open files to the hard limit of the host. Each open stream uses two
// descriptors, so the usual soft limit of 1,024 allows only about 500 streams.
void RaiseDescriptorLimit()
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
}

} // namespace

ServeExit Serve(const std::string& aSettingsFile)
{
  std::ifstream file(aSettingsFile);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    std::cerr << aSettingsFile << ": $: cannot be read (allowed: a readable settings file)\n";
    return ServeExit::BadInput;
  }
  const Result<Settings, Faults> settings = ParseSettings(text.str(), aSettingsFile);
  if (!settings) {
    for (const Fault& fault : settings.error()) {
      std::cerr << ToString(fault) << "\n";
    }
    return ServeExit::BadInput;
  }
  telemetry::StartLog(ToLevel(settings->logLevel), settings->host.Text());
  RaiseDescriptorLimit();
  Result<std::unique_ptr<Daemon>, net::NetError> daemon = Daemon::Create(*settings);
  if (!daemon) {
    std::cerr << aSettingsFile << ": $: " << net::ToString(daemon.error()) << "\n";
    return ServeExit::Unavailable;
  }
  (*daemon)->Wait();
  return ServeExit::Done;
}

} // namespace masticstep::gateway
