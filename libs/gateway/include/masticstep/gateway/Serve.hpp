#pragma once

#include <string>

namespace masticstep::gateway {

// Exit codes of `serve`; the design defines the codes for all subcommands.
enum class ServeExit
{
  Done = 0,
  BadInput = 1,
  Unavailable = 4
};

// Runs the daemon until SIGTERM, SIGINT or a drain, and returns the exit code of the process.
// Errors in the settings file are printed to stderr.
ServeExit Serve(const std::string& aSettingsFile);

} // namespace masticstep::gateway
