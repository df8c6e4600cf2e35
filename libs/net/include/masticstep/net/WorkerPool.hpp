#pragma once

#include <boost/asio/io_context.hpp>

#include <memory>
#include <thread>
#include <vector>

namespace masticstep::net {

// Threads that run one io_context until Stop or destruction.
class WorkerPool
{
public:
  explicit WorkerPool(std::size_t aThreads);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  boost::asio::io_context& Context() { return mContext; }
  // Ends the event loop and joins the threads. Must not be called from a worker.
  void Stop();

private:
  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> mGuard;
  std::vector<std::thread> mThreads;
};

} // namespace masticstep::net
