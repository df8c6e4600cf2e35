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
  std::string role = "roles"; // last part of the lease key
  HostName holder;
  std::string processNonce; // 16 random hexadecimal digits, different at every process start
  Duration lease = Seconds(10);
  Duration orderTimeout = Seconds(10);
  Duration orderPollInterval = Seconds(1);
  bool mayHavePredecessor = false; // see authority::LeaseOptions
  Duration pauseAfterRelease{};    // see authority::LeaseOptions

  auto operator<=>(const AuthorityOptions&) const = default;
};

// Engine that orders can be sent to.
struct EngineTarget
{
  EngineId engine;
  net::HostPort address;
  std::string path; // prefix of /orders, without a trailing slash
  bool refusesOldFencing = false;

  auto operator<=>(const EngineTarget&) const = default;
};

// Order in the terms of the engine interface: set_role, load_model, load_adapter or load_version.
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
  LeaseLost,     // the next holder completes the order if its intent is durable
  NotHolder,     // this process does not hold the lease; nothing was sent
  Busy,          // an earlier order to the engine is in progress; nothing was sent
  UnknownEngine, // nothing was sent
};

// Competes for the lease of one role in one data centre and, while holding it, sends orders to
// engines by the protocol of docs/AUTHORITY.md. Thread-safe.
class EngineAuthority
{
public:
  using Callback = std::function<void(CommandResult)>;

  // The executor must outlive the object; the store's callbacks may run on any thread.
  // Without a codec, orders have the HTTP format of docs/design.md.
  EngineAuthority(net::Executor aExecutor, std::shared_ptr<platform::ObjectStore> aStore,
                  AuthorityOptions aOptions, std::shared_ptr<const OrderCodec> aCodec = nullptr);
  // Stops all activity without releasing the lease.
  ~EngineAuthority();
  EngineAuthority(const EngineAuthority&) = delete;
  EngineAuthority& operator=(const EngineAuthority&) = delete;

  // Starts to compete for the lease.
  void Start();
  // Replaces the list of engines. An order in progress continues if its engine is no longer listed.
  void SetEngines(std::vector<EngineTarget> aEngines);
  // Returns whether this process holds a lease that is valid now.
  bool IsHolder() const;
  // Returns the lease of this process. It must be checked again just before each action, and must
  // stay valid for as long as the action may take.
  authority::LeaseStatus Lease() const;
  // Returns the holder that the store named last; nothing if it named none.
  std::optional<HostName> KnownHolder() const;
  // Sends an order and calls aCallback exactly once, on any thread.
  void SendCommand(const EngineCommand& aCommand, Callback aCallback);
  // Releases the lease at a graceful shutdown, so that the next holder need not wait for its
  // expiry.
  void Release();

private:
  class Core;

  std::shared_ptr<Core> mCore;
};

} // namespace masticstep::control
