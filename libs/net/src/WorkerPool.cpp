#include "masticstep/net/WorkerPool.hpp"

namespace masticstep::net {

WorkerPool::WorkerPool(std::size_t aThreads)
  : mContext(static_cast<int>(aThreads))
  , mGuard(boost::asio::make_work_guard(mContext))
{
  for (std::size_t i = 0; i < aThreads; ++i) {
    mThreads.emplace_back([this] { mContext.run(); });
  }
}

WorkerPool::~WorkerPool()
{
  Stop();
}

void WorkerPool::Stop()
{
  mGuard.reset();
  mContext.stop();
  for (std::thread& thread : mThreads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

} // namespace masticstep::net
