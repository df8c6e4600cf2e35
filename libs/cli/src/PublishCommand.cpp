#include "masticstep/cli/PublishCommand.hpp"

#include "StoreReader.hpp"
#include "masticstep/cli/CheckCommand.hpp"
#include "masticstep/cli/FileCollector.hpp"
#include "masticstep/control/PublishAndWait.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/WorkerPool.hpp"
#include "masticstep/platform_client/HttpObjectStore.hpp"

#include <cstdio>
#include <map>
#include <ostream>
#include <random>
#include <set>
#include <thread>

namespace masticstep {

namespace {

constexpr Duration kPollInterval = Milliseconds(200);

using publication::PublishOutcome;
using publication::PublishStatus;

std::uint64_t RandomUint64()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::string MakeNonce()
{
  constexpr std::size_t kHexDigits = 16;
  char text[kHexDigits + 1];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(RandomUint64()));
  return text;
}

platform_client::StoreOptions MakeStoreOptions(const HttpUrl& aUrl)
{
  platform_client::StoreOptions options;
  options.address = { aUrl.address.ip, aUrl.address.port };
  options.path = aUrl.path;
  options.seed = RandomUint64();
  return options;
}

std::vector<publication::ServiceContent> MakeServiceContents(std::vector<PublicationUnit> aUnits)
{
  std::vector<publication::ServiceContent> contents;
  contents.reserve(aUnits.size());
  for (PublicationUnit& unit : aUnits) {
    contents.push_back({ ServiceName(unit.name), std::move(unit.files) });
  }
  return contents;
}

ExitCode ReportOutcome(const Command& aCommand, const PublishOutcome& aOutcome,
                       std::ostream& aOutput, std::ostream& aErrors)
{
  const char* effect = aOutcome.maybeAccepted ? "; the update may have been accepted: run "
                                                "'masticstep status' or publish again"
                                              : "; nothing was changed";
  switch (aOutcome.status) {
    case PublishStatus::Accepted:
      aOutput << "accepted: generation " << aOutcome.generation << "\n";
      return ExitCode::Done;
    case PublishStatus::BadInput:
      PrintFaults(aOutcome.faults, aErrors);
      return ExitCode::BadInput;
    case PublishStatus::Conflict:
      aErrors << "conflict: another run published one of the same services concurrently" << effect
              << "\n";
      return ExitCode::Conflict;
    case PublishStatus::Unavailable:
      aErrors << "platform at " << ToString(aCommand.platformUrl) << ": no answer in time" << effect
              << "\n";
      return ExitCode::Unavailable;
  }
  return ExitCode::Unavailable;
}

std::set<DataCentreName> DataCentresOf(const Configuration& aConfiguration)
{
  std::set<DataCentreName> names;
  for (const Service& service : aConfiguration.Services()) {
    for (const BackendServer& server : service.backendServers) {
      names.insert(server.dataCentre);
    }
  }
  return names;
}

// Waits until the generation, or a later one, is in force in every data centre of the
// configuration.
class InForceWait
{
public:
  InForceWait(StoreReader& aReader, std::uint64_t aGeneration, Time aDeadline)
    : mReader(aReader)
    , mGeneration(aGeneration)
    , mDeadline(aDeadline)
  {
  }

  // Returns the data centres in which the generation is not in force at the deadline, each with the
  // reason; empty on success.
  std::map<DataCentreName, std::string> Run()
  {
    std::set<DataCentreName> dataCentres;
    bool hasConfiguration = false;
    while (true) {
      if (!hasConfiguration) {
        const std::shared_ptr<const Configuration> configuration = mReader.ReadConfiguration();
        hasConfiguration = configuration != nullptr;
        dataCentres = hasConfiguration ? DataCentresOf(*configuration) : dataCentres;
      }
      std::map<DataCentreName, std::string> pending = FindPending(dataCentres);
      if (hasConfiguration && pending.empty()) {
        return pending;
      }
      if (net::Now() >= mDeadline) {
        return hasConfiguration
                 ? pending
                 : std::map<DataCentreName, std::string>{
                     { DataCentreName("all"), "the published configuration cannot be read" }
                   };
      }
      std::this_thread::sleep_for(kPollInterval);
    }
  }

private:
  std::map<DataCentreName, std::string> FindPending(const std::set<DataCentreName>& aNames)
  {
    std::map<DataCentreName, std::string> pending;
    for (const DataCentreName& name : aNames) {
      const std::optional<publication::InForceReport> report = mReader.ReadInForce(name);
      if (!report) {
        pending[name] = "no report from a daemon";
      } else if (report->generation < mGeneration) {
        pending[name] = "generation " + std::to_string(report->generation) + " is in force";
      }
    }
    return pending;
  }

  StoreReader& mReader;
  std::uint64_t mGeneration;
  Time mDeadline;
};

ExitCode WaitUntilInForce(StoreReader& aReader, std::uint64_t aGeneration, Time aDeadline,
                          std::ostream& aOutput, std::ostream& aErrors)
{
  const std::map<DataCentreName, std::string> pending =
    InForceWait(aReader, aGeneration, aDeadline).Run();
  for (const std::pair<const DataCentreName, std::string>& item : pending) {
    aErrors << "not in force in data centre " << item.first.Text() << ": " << item.second << "\n";
  }
  if (!pending.empty()) {
    return ExitCode::NotInForce;
  }
  aOutput << "in force: generation " << aGeneration << "\n";
  return ExitCode::Done;
}

} // namespace

ExitCode RunPublishCommand(const Command& aCommand, std::ostream& aOutput, std::ostream& aErrors)
{
  Result<std::vector<PublicationUnit>, Faults> units = CollectFiles(aCommand.folders);
  if (!units) {
    PrintFaults(units.error(), aErrors);
    return ExitCode::BadInput;
  }
  const Time deadline = net::Now() + aCommand.timeout;
  net::WorkerPool workers(1);
  platform_client::HttpObjectStore store(workers.Context().get_executor(),
                                         MakeStoreOptions(aCommand.platformUrl));
  const PublishOutcome outcome = control::PublishAndWait(
    store, MakeServiceContents(std::move(*units)), MakeNonce(), aCommand.timeout);
  const ExitCode code = ReportOutcome(aCommand, outcome, aOutput, aErrors);
  if (code != ExitCode::Done || !aCommand.wait) {
    return code;
  }
  StoreReader reader(store);
  return WaitUntilInForce(reader, outcome.generation, deadline, aOutput, aErrors);
}

} // namespace masticstep
