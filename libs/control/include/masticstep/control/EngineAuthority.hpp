#pragma once

#include "masticstep/authority/LeaseManager.hpp"
#include "masticstep/base/Identifier.hpp"
#include "masticstep/control/OrderCodec.hpp"
#include "masticstep/net/HostPort.hpp"
#include "masticstep/net/Task.hpp"
#include "masticstep/platform/ObjectStore.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace masticstep::control {

struct AuthorityOptions
{
  DataCentreName dataCentre;
  std::string role = "roles"; // last part of the lease's key
  HostName holder;
  std::string processNonce; // 16 hexadecimal digits, drawn anew at every start of the process
  Duration lease = Seconds(10);
  Duration orderTimeout = Seconds(10);
  Duration orderPoll = Seconds(1);

  auto operator<=>(const AuthorityOptions&) const = default;
};

// Engine that may be given orders.
struct EngineTarget
{
  EngineId engine;
  net::HostPort address;
  std::string path; // before /orders, without a trailing slash
  bool refusesOldFencing = false;

  auto operator<=>(const EngineTarget&) const = default;
};

// Order as the engine interface names it: set_role, load_model, load_adapter, load_version.
struct EngineCommand
{
  EngineId engine;
  std::string kind;
  std::string argument;

  auto operator<=>(const EngineCommand&) const = default;
};

enum class CommandResult
{
  Done,          // the engine confirmed it
  LeaseLost,     // a successor settles it if its intent is durable
  NotHolder,     // this process does not hold the lease; nothing was sent
  Busy,          // the engine has an order that is not settled; nothing was sent
  UnknownEngine, // nothing was sent
};

// Holds the lease of one role in one data centre, or waits for it, and sends orders to engines
// under it by the protocol of docs/AUTHORITY.md. Safe to use from every thread.
class EngineAuthority
{
public:
  using Callback = std::function<void(CommandResult)>;

  // The executor must outlive the object; the store's callbacks may run on any thread.
  // Without a dialect, orders are written as docs/design.md says.
  EngineAuthority(net::Executor aExecutor, std::shared_ptr<platform::ObjectStore> aStore,
                  AuthorityOptions aOptions, std::shared_ptr<const OrderCodec> aDialect = nullptr);
  // Ends all activity without giving the lease up.
  ~EngineAuthority();
  EngineAuthority(const EngineAuthority&) = delete;
  EngineAuthority& operator=(const EngineAuthority&) = delete;

  // Begins to try for the lease.
  void Start();
  // Replaces the engines. An engine that is left out keeps an order that is in progress.
  void SetEngines(std::vector<EngineTarget> aEngines);
  // Returns whether the lease covers the present time.
  bool IsHolder() const;
  // Sends an order and calls aCallback once, on any thread.
  void SendCommand(const EngineCommand& aCommand, Callback aCallback);
  // Gives the lease up at a graceful shutdown, so that a successor need not wait.
  void Release();

private:
  class Core;

  std::shared_ptr<Core> mCore;
};

} // namespace masticstep::control
