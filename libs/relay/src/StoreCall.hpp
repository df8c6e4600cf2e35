#pragma once

#include "masticstep/net/Task.hpp"
#include "masticstep/platform/ObjectStore.hpp"

namespace masticstep::relay {

// Submits a call to the store and returns its reply on the executor.
net::Task<platform::PlatformReply> CallStore(platform::ObjectStore& aStore, net::Executor aExecutor,
                                             std::uint64_t aNumber, platform::PlatformCall aCall);

} // namespace masticstep::relay
