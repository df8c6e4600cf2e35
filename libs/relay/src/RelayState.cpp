#include "masticstep/relay/RelayState.hpp"

#include "AsyncPromptQueue.hpp"
#include "CrashDetector.hpp"

#include <utility>

namespace masticstep::relay {

namespace {

// Backend servers limit the total number of connections from all daemons.
constexpr net::PoolLimits kPoolLimits{ .idlePerAddress = 12, .maximumIdle = Seconds(8) };

} // namespace

RelayState::RelayState(net::Executor aExecutor, std::shared_ptr<const Dialect> aDialect,
                       dispatch::Locality aPlace, std::uint64_t aSeed)
  : executor(std::move(aExecutor))
  , dialect(std::move(aDialect))
  , pool(net::ConnectionPool::Create(kPoolLimits))
  , dispatcher(std::move(aPlace), aSeed)
  , promptQueue(std::make_unique<AsyncPromptQueue>(executor, dispatcher))
  , crashDetector(std::make_shared<CrashDetector>(executor, pool, quarantine, metrics))
{
}

RelayState::~RelayState() = default;

void RelayState::ApplyDirectory(Time aNow)
{
  dispatcher.SetBackends(directory.Backends());
  streamOrigins.OnBackends(directory.Backends(), aNow);
}

} // namespace masticstep::relay
