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

// A link is dropped after this long without a byte although an answer is due.
constexpr Duration kLinkSilence = Seconds(3);
// An answer is asked for after this long without one.
constexpr Duration kKeepAliveAfter = Seconds(1);
// A link without traffic is closed; probes use each link of a data centre more often than this.
constexpr Duration kLinkIdle = Seconds(180);
// Four contents of a configuration; a peer that is further behind gets a new link.
constexpr std::size_t kMaximumQueueBytes = 4U * 1024U * 1024U;

// One connection to a peer: a bounded queue of frames to write, a decoder of what comes in, and the
// times by which a silent connection is found. Used on the strand of Peering only.
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
  // Lets Close end the handshake of a stream that is not running yet.
  void Attach(PeerStream& aStream) { mPending = &aStream; }
  void Detach() { mPending = nullptr; }
  // Queues a frame; closes the link if the queue is full.
  void Send(std::string aFrame);
  void Close(const std::string& aReason);

  bool IsOpen() const { return !mIsClosed; }
  bool IsSilent(Time aNow) const;
  bool WantsKeepAlive(Time aNow) const;
  bool IsIdle(Time aNow) const;
  void OnKeepAliveSent(Time aNow) { mKeepAliveSent = aNow; }

  // Address that the peer listens on; empty on an accepted link before its Hello.
  std::string mAddress;
  std::uint64_t mBytesSent = 0;
  std::uint64_t mBytesReceived = 0;

private:
  net::Task<void> ReadLoop();
  net::Task<void> WriteLoop();

  net::Executor mExecutor;
  Handlers mHandlers;
  std::unique_ptr<PeerStream> mStream;
  PeerStream* mPending = nullptr;
  boost::asio::steady_timer mHasWork; // never expires; cancelled to wake the writer
  std::deque<std::string> mQueue;
  std::size_t mQueueBytes = 0;
  bool mIsClosed = false;
  Time mOpened;
  Time mLastReceived;
  Time mLastSent;
  std::optional<Time> mUnansweredSince; // first send after the last bytes received
  Time mKeepAliveSent;
};

} // namespace masticstep
