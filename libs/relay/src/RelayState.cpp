#include "masticstep/relay/RelayState.hpp"

#include "AsyncPromptQueue.hpp"
#include "CrashDetector.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <malloc.h>

#include <algorithm>
#include <utility>

namespace masticstep::relay {

namespace {

// Backend servers limit the total number of connections from all daemons.
constexpr net::PoolLimits kPoolLimits{ .idlePerAddress = 12, .maximumIdle = Seconds(8) };

// Entry hosts have as little as 160 MB, of which the control state may take 64 MB.
constexpr std::size_t kMaximumAnswerBytes = 50331648;

// Buffers from this size on go back to the system when they are released. The allocator would raise
// the threshold with the first large buffers and keep up to as much again as the budget allows.
constexpr int kReturnedBufferBytes = 131072;

void ReturnLargeBuffers()
{
  mallopt(M_MMAP_THRESHOLD, kReturnedBufferBytes);
  mallopt(M_TRIM_THRESHOLD, kReturnedBufferBytes);
}

// Smaller hosts give answers this share of their memory.
constexpr double kAnswerShare = 0.32;

std::size_t AnswerBytes(std::size_t aMemoryBytes)
{
  const std::size_t share =
    static_cast<std::size_t>(kAnswerShare * static_cast<double>(aMemoryBytes));
  return aMemoryBytes == 0 ? kMaximumAnswerBytes : std::min(kMaximumAnswerBytes, share);
}

std::shared_ptr<net::ByteBudget> CreateAnswerBudget(telemetry::Metrics& aMetrics,
                                                    std::size_t aMemoryBytes)
{
  const std::shared_ptr<telemetry::Counter> refusals =
    aMetrics.GetCounter({ "masticstep_oversized_answers_total", {}, {} });
  return std::make_shared<net::ByteBudget>(
    AnswerBytes(aMemoryBytes), [refusals](const net::RefusedBytes& aRefused) {
      refusals->Add();
      telemetry::Log(telemetry::Level::Warning, "answers use up their memory",
                     { { "wanted_bytes", static_cast<std::uint64_t>(aRefused.wanted) },
                       { "bytes_in_use", static_cast<std::uint64_t>(aRefused.inUse) },
                       { "bound_bytes", static_cast<std::uint64_t>(aRefused.bound) } });
    });
}

} // namespace

RelayState::RelayState(net::Executor aExecutor, std::shared_ptr<const Dialect> aDialect,
                       dispatch::Locality aPlace, std::uint64_t aSeed, std::size_t aMemoryBytes)
  : executor(std::move(aExecutor))
  , dialect(std::move(aDialect))
  , answerBytes(CreateAnswerBudget(metrics, aMemoryBytes))
  , pool(net::ConnectionPool::Create(kPoolLimits, answerBytes))
  , dispatcher(std::move(aPlace), aSeed)
  , promptQueue(std::make_unique<AsyncPromptQueue>(executor, dispatcher))
  , crashDetector(std::make_shared<CrashDetector>(executor, pool, quarantine, metrics))
{
  ReturnLargeBuffers();
}

RelayState::~RelayState() = default;

void RelayState::ApplyDirectory(Time aNow)
{
  dispatcher.SetBackends(directory.Backends());
  streamOrigins.OnBackends(directory.Backends(), aNow);
}

} // namespace masticstep::relay
