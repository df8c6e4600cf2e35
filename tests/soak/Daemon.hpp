#pragma once

#include "Checks.hpp"
#include "common/Asio.hpp"
#include "fault_proxy/ProxyServer.hpp"
#include "support/Process.hpp"

#include <array>
#include <memory>

namespace masticstep::soak {

namespace asio = boost::asio;
using standins::Awaitable;

struct DaemonOptions
{
  std::size_t number = 0;
  std::string ip;
  std::string dataCentre;
  std::vector<std::string> dataCentres; // all data centres of the fleet
  std::string folder;                   // for the settings file and the process output
  standins::Address store;
  Bounds bounds;
};

// One `masticstep relay` process behind proxies, with the faults that the harness can inject. The
// process is restarted after each exit until Finish is called.
class Daemon
{
public:
  static Result<std::unique_ptr<Daemon>, std::string> Create(asio::io_context& aContext,
                                                             History& aHistory,
                                                             DaemonOptions aOptions);

  // Starts and supervises the process; returns after Finish, once the process has exited.
  Awaitable<void> Run();
  void Kill();
  void Pause();
  void Continue();
  void Stop(bool aIsLast);
  // Rewrites the settings to use the other store link, and optionally sends SIGHUP.
  void Reload(bool aSignals);
  // Disables further restarts.
  void Finish() { mIsFinished = true; }
  bool HasEnded() const { return mHasEnded; }
  bool IsRunning() const { return !mHasEnded && !mIsDown; }

  // Probes readiness once, as the load balancer does.
  Awaitable<void> ProbeReadiness();
  bool IsInRotation() const { return mIsInRotation; }

  // Proxy between callers and the daemon, and the one that the daemon currently uses for the store.
  standins::ProxyServer& Callers() { return *mCallers; }
  standins::ProxyServer& StoreLink() { return *mStoreLinks[mStoreLink]; }
  standins::Address CallersAddress() const { return mCallers->BoundAddress(); }
  std::size_t Number() const { return mOptions.number; }
  std::string Name() const { return "daemon-" + std::to_string(mOptions.number); }

private:
  Daemon(History& aHistory, DaemonOptions aOptions);
  void Start();
  void WriteSettings() const;
  void BeginDisturbance(Scope aScope);
  void OnExit();
  void CheckGrace();

  History& mHistory;
  DaemonOptions mOptions;
  std::unique_ptr<standins::ProxyServer> mCallers;
  std::array<std::unique_ptr<standins::ProxyServer>, 2> mStoreLinks;
  std::size_t mStoreLink = 0;
  std::uint64_t mReloads = 0;
  std::unique_ptr<integration::Process> mProcess;
  std::vector<std::size_t> mOpenDisturbances;
  std::optional<std::size_t> mStop; // index of the StopRecord of the requested stop
  bool mIsKilled = false;
  bool mIsPaused = false;
  bool mWasPaused = false; // at or after the stop request
  bool mIsDown = true;
  bool mIsFinished = false;
  bool mHasEnded = false;
  bool mIsInRotation = false;
  int mMissedProbes = 0;
};

} // namespace masticstep::soak
