#include "masticstep/cli/CommandLine.hpp"

#include <docopt/docopt.h>

#include <charconv>
#include <map>
#include <optional>

namespace masticstep {

namespace {

constexpr const char* kUsage = R"(masticstep serves language models on a fixed fleet.

Usage:
  masticstep serve --settings FILE
  masticstep relay [--settings FILE]
  masticstep check DIR...
  masticstep publish DIR... --platform URL [--wait] [--timeout SECONDS]
  masticstep status [--json] [--admin ADDRESS]
  masticstep drain [--admin ADDRESS]
  masticstep explain [--around SECONDS] ID [FILE...]
  masticstep --help
  masticstep --version

Options:
  --settings FILE    Settings of this host: JSON for serve; for relay the platform's file, which
                     the platform names if the option is left out.
  --platform URL     Address of the platform's object API, such as http://127.0.0.1:7000.
  --wait             Wait until the configuration is in force in every data centre.
  --timeout SECONDS  Longest wait [default: 30].
  --admin ADDRESS    Admin address of a daemon [default: 127.0.0.1:9080].
  --around SECONDS   Also print what else the request's daemon logged that long before and after
                     it, but not of other requests [default: 0].
  --json             Print JSON.
  -h --help          Print this text.
  --version          Print the version.

Exit codes: 0 done, 1 bad input, 2 usage, 3 conflict, 4 platform or daemon unavailable,
5 accepted but not in force in time.
)";

constexpr int kMaximumTimeoutSeconds = 3600;

using Options = std::map<std::string, docopt::value>;

bool IsSet(const Options& aOptions, const std::string& aName)
{
  const Options::const_iterator it = aOptions.find(aName);
  return it != aOptions.end() && it->second.isBool() && it->second.asBool();
}

std::string Text(const Options& aOptions, const std::string& aName)
{
  const Options::const_iterator it = aOptions.find(aName);
  return it != aOptions.end() && it->second.isString() ? it->second.asString() : std::string();
}

CommandKind KindOf(const Options& aOptions)
{
  const std::map<std::string, CommandKind> kinds = {
    { "serve", CommandKind::Serve },    { "relay", CommandKind::Relay },
    { "check", CommandKind::Check },    { "publish", CommandKind::Publish },
    { "status", CommandKind::Status },  { "drain", CommandKind::Drain },
    { "explain", CommandKind::Explain }
  };
  for (const std::pair<const std::string, CommandKind>& kind : kinds) {
    if (IsSet(aOptions, kind.first)) {
      return kind.second;
    }
  }
  return CommandKind::PrintText;
}

// Reads whole seconds within the bounds.
std::optional<int> ParseSeconds(const std::string& aText, int aLeast)
{
  int n = 0;
  const std::from_chars_result parsed =
    std::from_chars(aText.data(), aText.data() + aText.size(), n);
  const bool isWhole = parsed.ec == std::errc{} && parsed.ptr == aText.data() + aText.size();
  return isWhole && n >= aLeast && n <= kMaximumTimeoutSeconds ? std::optional<int>(n)
                                                               : std::nullopt;
}

Result<Command, UsageError> ReadOptions(const Options& aOptions)
{
  Command command;
  command.kind = KindOf(aOptions);
  command.settingsFile = Text(aOptions, "--settings");
  const Options::const_iterator folders = aOptions.find("DIR");
  if (folders != aOptions.end() && folders->second.isStringList()) {
    command.folders = folders->second.asStringList();
  }
  command.wait = IsSet(aOptions, "--wait");
  command.json = IsSet(aOptions, "--json");
  if (command.kind == CommandKind::Publish) {
    const std::optional<HttpUrl> url = ParseHttpUrl(Text(aOptions, "--platform"));
    if (!url.has_value()) {
      return Failure(UsageError{ "--platform: '" + Text(aOptions, "--platform") +
                                 "' is not a URL (allowed: http://IP:PORT[/path])" });
    }
    command.platformUrl = *url;
  }
  const std::optional<SocketAddress> admin = ParseSocketAddress(Text(aOptions, "--admin"));
  if (!admin.has_value()) {
    return Failure(UsageError{ "--admin: '" + Text(aOptions, "--admin") +
                               "' is not an address (allowed: IP:PORT)" });
  }
  command.adminAddress = *admin;
  const std::optional<int> timeout = ParseSeconds(Text(aOptions, "--timeout"), 1);
  if (!timeout.has_value()) {
    return Failure(UsageError{ "--timeout: '" + Text(aOptions, "--timeout") +
                               "' is not a time (allowed: 1 to 3600 seconds)" });
  }
  command.timeout = Seconds(*timeout);
  const std::optional<int> around = ParseSeconds(Text(aOptions, "--around"), 0);
  if (!around.has_value()) {
    return Failure(UsageError{ "--around: '" + Text(aOptions, "--around") +
                               "' is not a time (allowed: 0 to 3600 seconds)" });
  }
  command.around = Seconds(*around);
  command.requestId = Text(aOptions, "ID");
  const Options::const_iterator files = aOptions.find("FILE");
  if (files != aOptions.end() && files->second.isStringList()) {
    command.logFiles = files->second.asStringList();
  }
  return command;
}

Command PrintText(std::string aText)
{
  Command command;
  command.text = std::move(aText);
  return command;
}

} // namespace

Result<Command, UsageError> ParseCommandLine(const std::vector<std::string>& aArguments)
{
  try {
    return ReadOptions(docopt::docopt_parse(kUsage, aArguments, true, true));
  } catch (const docopt::DocoptExitHelp&) {
    return PrintText(kUsage);
  } catch (const docopt::DocoptExitVersion&) {
    return PrintText("masticstep " MASTICSTEP_VERSION "\n");
  } catch (const docopt::DocoptArgumentError& error) {
    return Failure(
      UsageError{ std::string(error.what()) + "; 'masticstep --help' lists the commands" });
  }
}

} // namespace masticstep
