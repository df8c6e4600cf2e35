#include "support/DaemonProcess.hpp"

#include "common/JsonFields.hpp"

#include <fstream>
#include <stdexcept>

namespace masticstep::integration {

namespace {

constexpr Duration kStartLimit = Seconds(30);
constexpr Duration kAdminLimit = Seconds(3);

std::string SettingsText(const DaemonSettings& aSettings)
{
  boost::json::array peers;
  for (const standins::Address& peer : aSettings.peers) {
    peers.emplace_back(peer.Text());
  }
  boost::json::object text{ { "host", aSettings.host },
                            { "region", aSettings.region },
                            { "data_centre", aSettings.dataCentre },
                            { "caller_address", aSettings.callers.Text() },
                            { "peer_address", aSettings.peer.Text() },
                            { "admin_address", aSettings.admin.Text() },
                            { "platform_url", aSettings.platformUrl },
                            { "peers", std::move(peers) },
                            { "workers", 2 },
                            { "balancer_notice_ms", 1500 },
                            { "shutdown_ms", 60000 } };
  if (aSettings.tls) {
    text["tls"] = boost::json::object{ { "certificate", aSettings.tls->certificate },
                                       { "key", aSettings.tls->key },
                                       { "authority", aSettings.tls->authority },
                                       { "callers", true } };
  }
  return boost::json::serialize(text);
}

} // namespace

DaemonProcess::DaemonProcess(DaemonSettings aSettings, std::string aFolder)
  : mSettings(std::move(aSettings))
  , mFolder(std::move(aFolder))
{
}

void DaemonProcess::Start()
{
  const std::string base = mFolder + "/" + mSettings.host;
  std::ofstream(base + ".json") << SettingsText(mSettings);
  const std::vector<std::string> arguments = { "serve", "--settings", base + ".json" };
  mProcess = std::make_unique<Process>("masticstep", arguments, base);
  const bool isUp = WaitUntil(kStartLimit, [this] {
    return Admin("GET", "/healthz").status == 200 || !mProcess->IsRunning();
  });
  if (!isUp || !mProcess->IsRunning()) {
    throw std::runtime_error(mSettings.host + " did not start: " + mProcess->ErrorText());
  }
}

standins::HttpReply DaemonProcess::Admin(const std::string& aMethod,
                                         const std::string& aTarget) const
{
  standins::HttpCall call;
  call.server = mSettings.admin;
  call.method = aMethod;
  call.target = aTarget;
  call.timeout = kAdminLimit;
  return standins::FetchBlocking(call);
}

bool DaemonProcess::IsReady() const
{
  return Admin("GET", "/readyz").status == 200;
}

boost::json::object DaemonProcess::Status() const
{
  return Admin("GET", "/status").Json();
}

std::int64_t DaemonProcess::Generation() const
{
  return standins::IntegerField(Status(), "generation", -1);
}

} // namespace masticstep::integration
