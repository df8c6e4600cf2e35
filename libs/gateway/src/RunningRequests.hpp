#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/net/Task.hpp"

#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace masticstep::gateway {

// Registry of the requests in progress. A graceful shutdown waits until it is empty.
class RunningRequests
{
public:
  // Keeps a request registered during its lifetime. Must be destroyed on the executor of the
  // request.
  class Entry
  {
  public:
    Entry(RunningRequests& aOwner, RequestId aId, std::shared_ptr<std::function<void()>> aCancel);
    ~Entry();
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;

  private:
    RunningRequests& mOwner;
    const RequestId mId;
    std::shared_ptr<std::function<void()>> mCancel;
  };

  // aCancel is called at most once, on aExecutor, when the shutdown must not wait any longer.
  std::unique_ptr<Entry> Add(RequestId aId, net::Executor aExecutor, std::function<void()> aCancel);
  std::size_t Count() const;
  void CancelAll();

private:
  struct Running
  {
    net::Executor executor;
    std::weak_ptr<std::function<void()>> cancel;
  };

  void Remove(RequestId aId);

  mutable std::mutex mMutex;
  std::map<RequestId, Running> mRunning;
};

} // namespace masticstep::gateway
