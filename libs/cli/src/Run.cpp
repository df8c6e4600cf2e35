#include "masticstep/cli/Run.hpp"

#include "masticstep/adapter/RunRelay.hpp"
#include "masticstep/cli/AdminCommands.hpp"
#include "masticstep/cli/CheckCommand.hpp"
#include "masticstep/cli/CommandLine.hpp"
#include "masticstep/cli/ExplainCommand.hpp"
#include "masticstep/cli/PublishCommand.hpp"
#include "masticstep/gateway/Serve.hpp"

#include <iostream>

namespace masticstep {

ExitCode Run(const std::vector<std::string>& aArguments)
{
  const Result<Command, UsageError> command = ParseCommandLine(aArguments);
  if (!command) {
    std::cerr << command.error().message << "\n";
    return ExitCode::Usage;
  }
  switch (command->kind) {
    case CommandKind::Serve:
      return static_cast<ExitCode>(gateway::Serve(command->settingsFile));
    case CommandKind::Relay:
      return static_cast<ExitCode>(adapter::RunRelay(command->settingsFile, command->secondTries));
    case CommandKind::Check:
      return RunCheck(command->folders, std::cout, std::cerr);
    case CommandKind::Status:
      return RunStatus(*command, std::cout, std::cerr);
    case CommandKind::Drain:
      return RunDrain(*command, std::cout, std::cerr);
    case CommandKind::Explain:
      return RunExplain(*command, std::cin, std::cout, std::cerr);
    case CommandKind::Publish:
      return RunPublishCommand(*command, std::cout, std::cerr);
    case CommandKind::PrintText:
      std::cout << command->text;
      return ExitCode::Done;
  }
  return ExitCode::Usage;
}

} // namespace masticstep
