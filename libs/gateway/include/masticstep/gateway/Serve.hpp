#pragma once

#include <string>

namespace masticstep::gateway {

// Exit codes of `serve`, as the design lists them for every subcommand.
enum class ServeExit
{
  Done = 0,
  BadInput = 1,
  Unavailable = 4
};

// Runs the daemon until SIGTERM, SIGINT or a drain, and returns the exit code of the process.
// Faults of the settings file go to stderr.
ServeExit Serve(const std::string& aSettingsFile);

} // namespace masticstep::gateway
