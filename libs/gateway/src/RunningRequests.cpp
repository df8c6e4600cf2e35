#include "RunningRequests.hpp"

#include <boost/asio/post.hpp>

#include <utility>

namespace masticstep::gateway {

RunningRequests::Entry::Entry(RunningRequests& aOwner, RequestId aId,
                              std::shared_ptr<std::function<void()>> aCancel)
  : mOwner(aOwner)
  , mId(aId)
  , mCancel(std::move(aCancel))
{
}

RunningRequests::Entry::~Entry()
{
  *mCancel = nullptr;
  mOwner.Remove(mId);
}

std::unique_ptr<RunningRequests::Entry> RunningRequests::Add(RequestId aId, net::Executor aExecutor,
                                                             std::function<void()> aCancel)
{
  std::shared_ptr<std::function<void()>> cancel =
    std::make_shared<std::function<void()>>(std::move(aCancel));
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mRunning[aId] = { std::move(aExecutor), cancel };
  }
  return std::make_unique<Entry>(*this, aId, std::move(cancel));
}

std::size_t RunningRequests::Count() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mRunning.size();
}

void RunningRequests::CancelAll()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  for (const auto& [id, running] : mRunning) {
    boost::asio::post(running.executor, [weak = running.cancel] {
      const std::shared_ptr<std::function<void()>> cancel = weak.lock();
      if (cancel && *cancel) {
        (*cancel)();
      }
    });
  }
}

void RunningRequests::Remove(RequestId aId)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mRunning.erase(aId);
}

} // namespace masticstep::gateway
