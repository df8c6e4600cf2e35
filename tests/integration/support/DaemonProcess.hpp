#pragma once

#include "common/HttpClient.hpp"
#include "support/Process.hpp"

#include "masticstep/testing/TestAuthority.hpp"

#include <optional>

namespace masticstep::integration {

struct DaemonSettings
{
  std::string host;
  std::string region;
  std::string dataCentre;
  standins::Address callers;
  standins::Address peer;
  standins::Address admin;
  std::string platformUrl;
  std::vector<standins::Address> peers;
  std::optional<testing::CertificateFiles> tls; // also towards callers
};

// One `masticstep serve`, which can be started again on the same addresses.
class DaemonProcess
{
public:
  DaemonProcess(DaemonSettings aSettings, std::string aFolder);

  // Starts the process and waits until its admin address answers; throws std::runtime_error if it
  // does not.
  void Start();
  Process& Child() { return *mProcess; }
  const DaemonSettings& Settings() const { return mSettings; }
  const standins::Address& Callers() const { return mSettings.callers; }

  // True if the daemon takes requests: a configuration is in force and it is not leaving.
  bool IsReady() const;
  // Returns the body of /status; an empty object if it does not answer.
  boost::json::object Status() const;
  std::int64_t Generation() const;
  // Returns the answer of an admin call.
  standins::HttpReply Admin(const std::string& aMethod, const std::string& aTarget) const;

private:
  DaemonSettings mSettings;
  std::string mFolder;
  std::unique_ptr<Process> mProcess;
};

} // namespace masticstep::integration
