#pragma once

#include "common/CompletionClient.hpp"
#include "support/DaemonProcess.hpp"
#include "support/StandIn.hpp"

#include <memory>

namespace masticstep::integration {

struct FleetShape
{
  std::size_t dataCentres = 1;     // at most 2
  std::size_t daemons = 2;         // in each data centre
  std::size_t engines = 2;         // in each data centre
  bool hasProxies = false;         // a fault proxy in front of each engine
  bool hasPlatformProxies = false; // one between the platform and each data centre
  bool hasTls = false;             // among daemons and towards callers
  bool hasEagerRoles = false;      // role changes cost nothing and may follow each other at once
};

// Platform, engines, ordering service and daemons with a published configuration. The services are
// "drafting" (model "signs-8b", engines "draft-0" and on) and "ordering".
class Fleet
{
public:
  // Starts everything and waits until all daemons are ready; throws std::runtime_error if that
  // fails.
  explicit Fleet(const FleetShape& aShape);
  // Keeps the folder with logs and settings, and names it, if a test is failing.
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  StandIn& Platform() { return *mPlatform; }
  StandIn& Ordering() { return *mOrdering; }
  StandIn& Engine(std::size_t aIndex) { return *mEngines.at(aIndex); }
  StandIn& Proxy(std::size_t aIndex) { return *mProxies.at(aIndex); }
  StandIn& PlatformProxy(std::size_t aCentre) { return *mPlatformProxies.at(aCentre); }
  DaemonProcess& Daemon(std::size_t aIndex) { return *mDaemons.at(aIndex); }
  std::size_t DaemonCount() const { return mDaemons.size(); }
  std::size_t EngineCount() const { return mEngines.size(); }
  const std::string& Folder() const { return mFolder; }
  const testing::TestAuthority& Authority() const { return mAuthority; }
  // Returns settings of one more daemon in the first data centre, with a certificate of aAuthority.
  DaemonSettings SettingsOfAnother(const std::string& aHost,
                                   const testing::TestAuthority& aAuthority) const;

  // Writes the files of one service to a folder of its own and returns the folder.
  std::string WriteDrafting(const std::string& aFolder, std::int64_t aDeadlineMs) const;
  std::string WriteOrdering(const std::string& aFolder, std::int64_t aTimeoutMs) const;
  std::string WriteAccounts(const std::string& aFolder) const;
  // Starts `masticstep publish FOLDER... --platform URL [--wait]`.
  std::unique_ptr<Process> StartPublish(const std::vector<std::string>& aFolders, bool aWaits);

  // Returns a completion call to a daemon with the test key.
  standins::CompletionCall Completion(std::size_t aDaemon, const std::string& aPrompt,
                                      std::uint32_t aTokens);
  // Posts an order under the key to a daemon and returns the answer.
  standins::HttpReply PlaceOrder(std::size_t aDaemon, const std::string& aKey);
  // Returns how often the ordering service ran the key.
  std::int64_t Executions(const std::string& aKey) const;

private:
  void StartStandIns();
  void StartDaemons();
  void WriteFile(const std::string& aFolder, const std::string& aName,
                 const boost::json::value& aContent) const;

  FleetShape mShape;
  std::string mFolder;
  testing::TestAuthority mAuthority;
  std::unique_ptr<StandIn> mPlatform;
  std::unique_ptr<StandIn> mOrdering;
  std::vector<std::unique_ptr<StandIn>> mEngines;
  std::vector<std::unique_ptr<StandIn>> mProxies;
  std::vector<std::unique_ptr<StandIn>> mPlatformProxies;
  std::vector<std::unique_ptr<DaemonProcess>> mDaemons;
  std::size_t mPublishes = 0;
};

// Returns a new dated idempotency key.
std::string NewOrderKey();

// Returns the "run" member of a refusal, or an empty text.
std::string RunOf(const standins::HttpReply& aReply);

} // namespace masticstep::integration
