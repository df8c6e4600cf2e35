#pragma once

#include "PeerStream.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/wire/FrameCodec.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace masticstep {

// A link is closed after this time without received data while a response is outstanding.
constexpr Duration kLinkResponseTimeout = Seconds(3);
// A keep-alive is sent after this time without a response.
constexpr Duration kKeepAliveDelay = Seconds(1);
// A link without traffic is closed after this time, which is longer than the interval of probes
// on any link within a data centre.
constexpr Duration kLinkIdleTimeout = Seconds(180);
// Room for four configuration contents of maximum size; the link to a peer that falls further
// behind is closed and opened again.
constexpr std::size_t kMaximumSendQueueBytes = 4U * 1024U * 1024U;

// Connection to a peer with a bounded send queue, a frame decoder and the timestamps for
// detecting an unresponsive connection. Must only be used on the strand of Peering.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
  struct Handlers
  {
    std::function<void(PeerLink&, const wire::Message&)> onMessage;
    std::function<void(PeerLink&, const std::string& aReason)> onClosed; // called once
    std::function<Time()> now;
  };

  PeerLink(net::Executor aExecutor, std::string aAddress, Handlers aHandlers);

  // Starts reading and writing on a connected stream.
  void Run(std::unique_ptr<PeerStream> aStream);
  // Registers a stream whose handshake is in progress, so that Close can abort it.
  void SetPendingStream(PeerStream& aStream) { mPendingStream = &aStream; }
  void ClearPendingStream() { mPendingStream = nullptr; }
  // Queues a frame; closes the link if the queue is full.
  void Send(std::string aFrame);
  void Close(const std::string& aReason);

  bool IsOpen() const { return !mIsClosed; }
  bool IsResponseOverdue(Time aNow) const;
  bool IsKeepAliveDue(Time aNow) const;
  bool IsIdle(Time aNow) const;
  void OnKeepAliveSent(Time aNow) { mKeepAliveSentAt = aNow; }

  // Listening address of the peer; empty on an accepted link until its Hello.
  std::string mAddress;
  std::uint64_t mBytesSent = 0;
  std::uint64_t mBytesReceived = 0;

private:
  net::Task<void> ReadLoop();
  net::Task<void> WriteLoop();

  net::Executor mExecutor;
  Handlers mHandlers;
  std::unique_ptr<PeerStream> mStream;
  PeerStream* mPendingStream = nullptr;
  boost::asio::steady_timer mWriteSignal; // never expires; cancelled to wake WriteLoop
  std::deque<std::string> mSendQueue;
  std::size_t mSendQueueBytes = 0;
  bool mIsClosed = false;
  Time mOpenedAt;
  Time mLastReceivedAt;
  Time mLastSentAt;
  std::optional<Time> mUnansweredSince; // first send after the last bytes received
  Time mKeepAliveSentAt;
};

} // namespace masticstep
