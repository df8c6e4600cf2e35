#pragma once

#include "masticstep/net/ConnectionPool.hpp"
#include "masticstep/net/HostPort.hpp"
#include "masticstep/net/Task.hpp"
#include "masticstep/platform/ObjectStore.hpp"
#include "masticstep/platform_client/CallGate.hpp"
#include "masticstep/platform_client/ObjectForm.hpp"

#include <memory>
#include <mutex>
#include <string>

namespace masticstep::platform_client {

struct StoreOptions
{
  net::HostPort address;
  std::string path; // before every target, without a trailing slash; of the default form
  std::shared_ptr<const ObjectForm> form{}; // null for the form of docs/design.md
  Duration connect = Milliseconds(500);
  // The platform answers in milliseconds; a call without answer for this long is given up.
  Duration call = Seconds(1);
  GateOptions gate;
  std::uint64_t seed = 0; // of the jitter; differs between daemons
};

// Counts since the start of the process.
struct StoreCounters
{
  std::uint64_t calls = 0;
  std::uint64_t heldBack = 0; // by the budget or backoff
  std::uint64_t unknown = 0;  // sent without an answer

  auto operator<=>(const StoreCounters&) const = default;
};

// Object API of the platform over HTTP. Callbacks run on a worker of the executor. A call that the
// budget or the backoff holds back, or whose connection is refused, is answered NotSent; a call
// whose answer does not come is answered Unknown.
class HttpObjectStore : public platform::ObjectStore
{
public:
  // The executor must outlive every call.
  HttpObjectStore(net::Executor aExecutor, StoreOptions aOptions);
  ~HttpObjectStore() override;

  void Submit(platform::PlatformRequest aRequest, Callback aCallback) override;
  // Same for coroutines.
  net::Task<platform::PlatformReply> Call(platform::PlatformRequest aRequest);
  StoreCounters Counters() const;
  // Later calls go to this address. Calls under way stay where they are.
  void SetAddress(net::HostPort aAddress);

private:
  struct Shared;

  net::Executor mExecutor;
  std::shared_ptr<Shared> mShared;
};

} // namespace masticstep::platform_client
