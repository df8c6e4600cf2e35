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
  std::vector<std::string> dataCentres; // of all
  std::string folder;                   // for its settings and its output
  standins::Address store;
  Bounds bounds;
};

// One `masticstep relay` behind proxies, with all that the harness does to it. It is started again
// after each end until Finish.
class Daemon
{
public:
  static Result<std::unique_ptr<Daemon>, std::string> Create(asio::io_context& aContext,
                                                             History& aHistory,
                                                             DaemonOptions aOptions);

  // Starts the process and watches it; ends after Finish, once the process has ended.
  Awaitable<void> Run();
  void Kill();
  void Pause();
  void Continue();
  void Stop(bool aIsLast);
  // Writes settings that name another way to the store, with or without a signal.
  void Reload(bool aSignals);
  // Lets no more starts happen.
  void Finish() { mIsFinished = true; }
  bool HasEnded() const { return mHasEnded; }
  bool IsRunning() const { return !mHasEnded && !mIsDown; }

  // Asks for its readiness once, as the balancer does.
  Awaitable<void> AskReadiness();
  bool IsInRotation() const { return mIsInRotation; }

  // The link between callers and the daemon, and the one that it uses to the store.
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
  void OnEnd();
  void CheckGrace();

  History& mHistory;
  DaemonOptions mOptions;
  std::unique_ptr<standins::ProxyServer> mCallers;
  std::array<std::unique_ptr<standins::ProxyServer>, 2> mStoreLinks;
  std::size_t mStoreLink = 0;
  std::uint64_t mReloads = 0;
  std::unique_ptr<integration::Process> mProcess;
  std::vector<std::size_t> mOpenDisturbances;
  std::optional<std::size_t> mStop; // record of the stop that was asked for
  bool mIsKilled = false;
  bool mIsPaused = false;
  bool mWasPaused = false; // since the stop was asked for
  bool mIsDown = true;
  bool mIsFinished = false;
  bool mHasEnded = false;
  bool mIsInRotation = false;
  int mMisses = 0;
};

} // namespace masticstep::soak
