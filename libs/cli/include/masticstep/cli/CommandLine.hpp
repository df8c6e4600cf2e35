#pragma once

#include "masticstep/base/Result.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/config/SocketAddress.hpp"

#include <string>
#include <vector>

namespace masticstep {

enum class CommandKind
{
  Serve,
  Relay, // relay daemon on an entry host of the users' platform
  Check,
  Publish,
  Status,
  Drain,
  Explain,  // prints the log lines that concern one request
  PrintText // help or version
};

// Parsed command line.
struct Command
{
  CommandKind kind = CommandKind::PrintText;
  std::string settingsFile;
  double secondTries = 0.0; // of relay, for each request that may be repeated
  std::vector<std::string> folders;
  std::string requestId;
  std::vector<std::string> logFiles; // standard input if empty
  Duration around{ 0 }; // time before and after a request whose other events are printed
  HttpUrl platformUrl;
  SocketAddress adminAddress;
  bool wait = false;
  bool json = false;
  Duration timeout = Seconds(30);
  std::string text; // output of PrintText

  auto operator<=>(const Command&) const = default;
};

// Error message for invalid arguments, to be printed on standard error.
struct UsageError
{
  std::string message;
};

// Parses the arguments after the program name.
Result<Command, UsageError> ParseCommandLine(const std::vector<std::string>& aArguments);

} // namespace masticstep
