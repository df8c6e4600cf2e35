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
  masticstep relay [--settings FILE] [--second-tries SHARE]
  masticstep check DIR...
  masticstep publish DIR... --platform URL [--wait] [--timeout SECONDS]
  masticstep status [--json] [--admin ADDRESS]
  masticstep drain [--admin ADDRESS]
  masticstep explain [--around SECONDS] ID [FILE...]
  masticstep --help
  masticstep --version

Options:
  --settings FILE    Settings of this host: a JSON file for serve; for relay the platform's file,
                     whose path the platform provides if the option is omitted.
  --second-tries SHARE  Requests that may be repeated are sent to a second server when the first one
                     is slow, at most this many for each such request, from 0 to 0.1 [default: 0].
  --platform URL     Address of the platform's object API, such as http://127.0.0.1:7000.
  --wait             Wait until the configuration is in force in every data centre.
  --timeout SECONDS  Maximum time to wait [default: 30].
  --admin ADDRESS    Admin address of a daemon [default: 127.0.0.1:9080].
  --around SECONDS   Also print other log lines of the request's daemon from this long before to
                     this long after the request, except those of other requests [default: 0].
  --json             Print JSON.
  -h --help          Print this text.
  --version          Print the version.

Exit codes: 0 done, 1 bad input, 2 usage, 3 conflict, 4 platform or daemon unavailable,
5 accepted but not in force in time.
)";

constexpr int kMaximumDurationSeconds = 3600;

using Options = std::map<std::string, docopt::value>;

bool IsFlagSet(const Options& aOptions, const std::string& aName)
{
  const Options::const_iterator it = aOptions.find(aName);
  return it != aOptions.end() && it->second.isBool() && it->second.asBool();
}

std::string StringOption(const Options& aOptions, const std::string& aName)
{
  const Options::const_iterator it = aOptions.find(aName);
  return it != aOptions.end() && it->second.isString() ? it->second.asString() : std::string();
}

CommandKind SelectCommandKind(const Options& aOptions)
{
  const std::map<std::string, CommandKind> kinds = {
    { "serve", CommandKind::Serve },    { "relay", CommandKind::Relay },
    { "check", CommandKind::Check },    { "publish", CommandKind::Publish },
    { "status", CommandKind::Status },  { "drain", CommandKind::Drain },
    { "explain", CommandKind::Explain }
  };
  for (const std::pair<const std::string, CommandKind>& kind : kinds) {
    if (IsFlagSet(aOptions, kind.first)) {
      return kind.second;
    }
  }
  return CommandKind::PrintText;
}

// Parses an integer from aMinimum to kMaximumDurationSeconds.
std::optional<int> ParseSeconds(const std::string& aText, int aMinimum)
{
  int seconds = 0;
  const std::from_chars_result parsed =
    std::from_chars(aText.data(), aText.data() + aText.size(), seconds);
  const bool isInteger = parsed.ec == std::errc{} && parsed.ptr == aText.data() + aText.size();
  return isInteger && seconds >= aMinimum && seconds <= kMaximumDurationSeconds
           ? std::optional<int>(seconds)
           : std::nullopt;
}

// Parses a share of requests from 0 to kMaximumSecondTries.
std::optional<double> ParseShare(const std::string& aText)
{
  constexpr double kMaximumSecondTries = 0.1;
  double share = 0.0;
  const std::from_chars_result parsed =
    std::from_chars(aText.data(), aText.data() + aText.size(), share);
  const bool isNumber = parsed.ec == std::errc{} && parsed.ptr == aText.data() + aText.size();
  return isNumber && share >= 0.0 && share <= kMaximumSecondTries ? std::optional<double>(share)
                                                                  : std::nullopt;
}

Result<Command, UsageError> BuildCommand(const Options& aOptions)
{
  Command command;
  command.kind = SelectCommandKind(aOptions);
  command.settingsFile = StringOption(aOptions, "--settings");
  const std::optional<double> share = ParseShare(StringOption(aOptions, "--second-tries"));
  if (!share.has_value()) {
    return Failure(UsageError{ "--second-tries: '" + StringOption(aOptions, "--second-tries") +
                               "' is not a share (allowed: 0 to 0.1)" });
  }
  command.secondTries = *share;
  const Options::const_iterator folders = aOptions.find("DIR");
  if (folders != aOptions.end() && folders->second.isStringList()) {
    command.folders = folders->second.asStringList();
  }
  command.wait = IsFlagSet(aOptions, "--wait");
  command.json = IsFlagSet(aOptions, "--json");
  if (command.kind == CommandKind::Publish) {
    const std::optional<HttpUrl> url = ParseHttpUrl(StringOption(aOptions, "--platform"));
    if (!url.has_value()) {
      return Failure(UsageError{ "--platform: '" + StringOption(aOptions, "--platform") +
                                 "' is not a URL (allowed: http://IP:PORT[/path])" });
    }
    command.platformUrl = *url;
  }
  const std::optional<SocketAddress> admin = ParseSocketAddress(StringOption(aOptions, "--admin"));
  if (!admin.has_value()) {
    return Failure(UsageError{ "--admin: '" + StringOption(aOptions, "--admin") +
                               "' is not an address (allowed: IP:PORT)" });
  }
  command.adminAddress = *admin;
  const std::optional<int> timeout = ParseSeconds(StringOption(aOptions, "--timeout"), 1);
  if (!timeout.has_value()) {
    return Failure(UsageError{ "--timeout: '" + StringOption(aOptions, "--timeout") +
                               "' is not a duration (allowed: 1 to 3600 seconds)" });
  }
  command.timeout = Seconds(*timeout);
  const std::optional<int> around = ParseSeconds(StringOption(aOptions, "--around"), 0);
  if (!around.has_value()) {
    return Failure(UsageError{ "--around: '" + StringOption(aOptions, "--around") +
                               "' is not a duration (allowed: 0 to 3600 seconds)" });
  }
  command.around = Seconds(*around);
  command.requestId = StringOption(aOptions, "ID");
  const Options::const_iterator files = aOptions.find("FILE");
  if (files != aOptions.end() && files->second.isStringList()) {
    command.logFiles = files->second.asStringList();
  }
  return command;
}

Command MakePrintTextCommand(std::string aText)
{
  Command command;
  command.text = std::move(aText);
  return command;
}

} // namespace

Result<Command, UsageError> ParseCommandLine(const std::vector<std::string>& aArguments)
{
  try {
    return BuildCommand(docopt::docopt_parse(kUsage, aArguments, true, true));
  } catch (const docopt::DocoptExitHelp&) {
    return MakePrintTextCommand(kUsage);
  } catch (const docopt::DocoptExitVersion&) {
    return MakePrintTextCommand("masticstep " MASTICSTEP_VERSION "\n");
  } catch (const docopt::DocoptArgumentError& error) {
    return Failure(
      UsageError{ std::string(error.what()) + "; 'masticstep --help' lists the commands" });
  }
}

} // namespace masticstep
