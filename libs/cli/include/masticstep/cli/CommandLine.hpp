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
  Relay, // a daemon on an entry host of the users' platform
  Check,
  Publish,
  Status,
  Drain,
  Explain,  // tells the story of one request from logs
  PrintText // help or version
};

// Parsed command line.
struct Command
{
  CommandKind kind = CommandKind::PrintText;
  std::string settingsFile;
  std::vector<std::string> folders;
  std::string requestId;
  std::vector<std::string> logFiles; // none: standard input
  Duration around{ 0 };              // how long before and after a request other events are shown
  HttpUrl platformUrl;
  SocketAddress adminAddress;
  bool wait = false;
  bool json = false;
  Duration timeout = Seconds(30);
  std::string text; // what to print for PrintText

  auto operator<=>(const Command&) const = default;
};

// Message for stderr about arguments that cannot be understood.
struct UsageError
{
  std::string message;
};

// Parses the arguments after the program name.
Result<Command, UsageError> ParseCommandLine(const std::vector<std::string>& aArguments);

} // namespace masticstep
