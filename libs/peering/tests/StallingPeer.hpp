#pragma once

#include "masticstep/peering/PeerMessage.hpp"
#include "masticstep/wire/FrameCodec.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace masticstep {

inline std::string EncodeHello(const std::string& aAddress, bool aReplyWanted = true)
{
  return *wire::EncodeFrame(wire::Hello{ "fake", aAddress, "regina-a", "regina", aReplyWanted });
}

// In-process peer that stops responding on its first connection after the Hello and the first
// membership response, and responds to every frame on later connections.
class StallingPeer
{
public:
  StallingPeer()
    : mAcceptor(mContext,
                boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    , mThread([this] { Run(); })
  {
  }
  ~StallingPeer()
  {
    mIsStopped = true;
    boost::system::error_code ec;
    boost::asio::ip::tcp::socket(mContext).connect(mAcceptor.local_endpoint(),
                                                   ec); // unblocks accept
    mThread.join();
    for (const std::shared_ptr<boost::asio::ip::tcp::socket>& socket : mSockets) {
      socket->shutdown(boost::asio::ip::tcp::socket::shutdown_both, ec); // unblocks read_some
    }
    for (std::thread& thread : mConnections) {
      thread.join();
    }
  }
  StallingPeer(const StallingPeer&) = delete;
  StallingPeer& operator=(const StallingPeer&) = delete;

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }
  int Accepted() const { return mAccepted; }

private:
  void Run()
  {
    while (!mIsStopped) {
      mSockets.push_back(std::make_shared<boost::asio::ip::tcp::socket>(mAcceptor.accept()));
      mConnections.emplace_back(
        [this, socket = mSockets.back(), number = ++mAccepted] { Serve(*socket, number); });
    }
  }

  void Serve(boost::asio::ip::tcp::socket& aSocket, int aNumber)
  {
    wire::FrameDecoder decoder;
    std::array<char, 4096> buf{};
    boost::system::error_code ec;
    bool isStalled = false;
    while (!mIsStopped && !ec) {
      const std::size_t n = aSocket.read_some(boost::asio::buffer(buf), ec);
      decoder.Append({ buf.data(), n });
      for (;;) {
        const Result<std::optional<wire::Message>, wire::WireError> message = decoder.Next();
        if (!message || !message->has_value() || isStalled) {
          break;
        }
        const std::string response = ResponseTo(**message);
        boost::asio::write(aSocket, boost::asio::buffer(response), ec);
        isStalled = aNumber == 1 && std::holds_alternative<wire::MembershipFrame>(**message);
      }
    }
  }

  std::string ResponseTo(const wire::Message& aMessage)
  {
    const wire::MembershipFrame* frame = std::get_if<wire::MembershipFrame>(&aMessage);
    if (frame == nullptr) {
      return EncodeHello(Address(), false);
    }
    MembershipMessage response;
    const bool isSync = frame->kind == static_cast<std::uint8_t>(MembershipMessageKind::Sync);
    response.kind = isSync ? MembershipMessageKind::SyncReply : MembershipMessageKind::Ack;
    response.sequence = frame->sequence;
    response.records = { { HostName("fake"), Address(), DataCentreName("regina-a"),
                           RegionName("regina"), ++mIncarnation, MemberState::Alive } };
    return *wire::EncodeFrame(ToWire(response));
  }

  boost::asio::io_context mContext;
  boost::asio::ip::tcp::acceptor mAcceptor;
  std::atomic<bool> mIsStopped = false;
  std::atomic<int> mAccepted = 0;
  std::atomic<std::uint64_t> mIncarnation = 0; // increases, as if the peer refuted each suspicion
  std::vector<std::shared_ptr<boost::asio::ip::tcp::socket>> mSockets;
  std::vector<std::thread> mConnections;
  std::thread mThread;
};

} // namespace masticstep
