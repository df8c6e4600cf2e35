#include "masticstep/cli/CheckCommand.hpp"

#include "masticstep/cli/FileCollector.hpp"

#include <ostream>

namespace masticstep {

void PrintFaults(const Faults& aFaults, std::ostream& aErrors)
{
  for (const Fault& fault : aFaults) {
    aErrors << ToString(fault) << "\n";
  }
}

ExitCode RunCheck(const std::vector<std::string>& aFolders, std::ostream& aOutput,
                  std::ostream& aErrors)
{
  const Result<std::vector<PublicationUnit>, Faults> units = CollectFiles(aFolders);
  if (!units.has_value()) {
    PrintFaults(units.error(), aErrors);
    return ExitCode::BadInput;
  }
  const Result<Configuration, Faults> checked = Configuration::Create(0, AllFiles(*units));
  if (!checked.has_value()) {
    PrintFaults(checked.error(), aErrors);
    return ExitCode::BadInput;
  }
  aOutput << "ok: " << checked->Services().size() << " services, " << checked->Accounts().size()
          << " client accounts\n";
  return ExitCode::Done;
}

} // namespace masticstep
