#include "PeerLink.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace masticstep {

namespace asio = boost::asio;

PeerLink::PeerLink(net::Executor aExecutor, std::string aAddress, Handlers aHandlers)
  : mAddress(std::move(aAddress))
  , mExecutor(std::move(aExecutor))
  , mHandlers(std::move(aHandlers))
  , mWriteSignal(mExecutor, asio::steady_timer::time_point::max())
  , mOpenedAt(mHandlers.now())
  , mLastReceivedAt(mOpenedAt)
  , mLastSentAt(mOpenedAt)
{
}

void PeerLink::Run(std::unique_ptr<PeerStream> aStream)
{
  if (mIsClosed) {
    return;
  }
  mStream = std::move(aStream);
  const std::shared_ptr<PeerLink> self = shared_from_this();
  asio::co_spawn(
    mExecutor, [self] { return self->ReadLoop(); }, asio::detached);
  asio::co_spawn(
    mExecutor, [self] { return self->WriteLoop(); }, asio::detached);
}

void PeerLink::Send(std::string aFrame)
{
  if (mIsClosed) {
    return;
  }
  mSendQueueBytes += aFrame.size();
  if (mSendQueueBytes > kMaximumSendQueueBytes) {
    Close("send queue is full");
    return;
  }
  mLastSentAt = mHandlers.now();
  if (!mUnansweredSince) {
    mUnansweredSince = mLastSentAt;
  }
  mSendQueue.push_back(std::move(aFrame));
  mWriteSignal.cancel();
}

void PeerLink::Close(const std::string& aReason)
{
  if (std::exchange(mIsClosed, true)) {
    return;
  }
  if (mStream) {
    mStream->Close();
  }
  if (mPendingStream != nullptr) {
    mPendingStream->Close();
  }
  mWriteSignal.cancel();
  mHandlers.onClosed(*this, aReason);
}

bool PeerLink::IsResponseOverdue(Time aNow) const
{
  return mUnansweredSince &&
         aNow - std::max(*mUnansweredSince, mLastReceivedAt) >= kLinkResponseTimeout;
}

bool PeerLink::IsKeepAliveDue(Time aNow) const
{
  return mStream && mUnansweredSince && aNow - *mUnansweredSince >= kKeepAliveDelay &&
         mKeepAliveSentAt < *mUnansweredSince;
}

bool PeerLink::IsIdle(Time aNow) const
{
  return aNow - std::max(mLastReceivedAt, mLastSentAt) >= kLinkIdleTimeout;
}

net::Task<void> PeerLink::ReadLoop()
{
  constexpr std::size_t kReadSize = 16U * 1024U;
  std::vector<char> buf(kReadSize);
  wire::FrameDecoder decoder;
  while (!mIsClosed) {
    const Result<std::size_t, net::NetError> n = co_await mStream->ReadSome(buf);
    if (!n) {
      Close(n.error().detail);
      co_return;
    }
    mLastReceivedAt = mHandlers.now();
    mUnansweredSince.reset();
    mBytesReceived += *n;
    decoder.Append({ buf.data(), *n });
    while (!mIsClosed) {
      const Result<std::optional<wire::Message>, wire::WireError> message = decoder.Next();
      if (!message) {
        Close(message.error().message);
        co_return;
      }
      if (!message->has_value()) {
        break;
      }
      mHandlers.onMessage(*this, **message);
    }
  }
}

net::Task<void> PeerLink::WriteLoop()
{
  while (!mIsClosed) {
    if (mSendQueue.empty()) {
      co_await mWriteSignal.async_wait(asio::as_tuple(asio::use_awaitable));
      continue;
    }
    const std::string frame = std::move(mSendQueue.front());
    mSendQueue.pop_front();
    const Result<void, net::NetError> done = co_await mStream->WriteAll(frame);
    if (!done) {
      Close(done.error().detail);
      co_return;
    }
    mSendQueueBytes -= frame.size();
    mBytesSent += frame.size();
  }
}

} // namespace masticstep
