#pragma once

#include "Deadline.hpp"
#include "masticstep/net/ByteStream.hpp"
#include "masticstep/net/TlsContext.hpp"

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/stream.hpp>

#include <optional>

namespace masticstep::net {

using Socket = boost::asio::ip::tcp::socket;
using TlsSocket = boost::asio::ssl::stream<Socket>;

// ByteStream over a plain or a TLS socket.
template <class Next>
class SocketStream : public ByteStream
{
public:
  SocketStream(Next aNext, const Executor& aExecutor, std::shared_ptr<TlsContext> aContext);
  ~SocketStream() override;
  SocketStream(const SocketStream&) = delete;
  SocketStream& operator=(const SocketStream&) = delete;

  Task<Result<std::size_t, NetError>> ReadSome(std::span<char> aBuffer, Duration aTimeout) override;
  Task<Result<std::size_t, NetError>> TryReadSome(std::span<char> aBuffer,
                                                  Duration aTimeout) override;
  Task<bool> AwaitInput(Duration aTimeout) override;
  void CancelAwait() override;
  Task<Result<void, NetError>> WriteAll(std::string_view aBytes, Duration aTimeout) override;
  Result<std::size_t, NetError> WriteNow(std::string_view aBytes) override;
  void EndWriting() override;
  bool IsBroken() override;
  void SetUnacknowledgedLimit(Duration aLimit) override;
  void WatchForEnd(std::function<void(PeerEnd)> aCallback) override;
  void StopWatch() override;
  void CancelRead() override;
  void Close() override;
  void Abort() override;
  bool IsOpen() const override;
  bool HasInput() override;
  void Attach(Executor aExecutor) override;
  void Detach() override;

  Task<Result<void, NetError>> Handshake(bool aIsServer, Duration aTimeout);

private:
  // State of the watch, which outlives the stream while its operation ends.
  struct Watch;

  Socket& Lowest();
  const Socket& Lowest() const;
  NetError ErrorOf(boost::system::error_code aError) const;
  void WaitForInput();
  void OnTimeout();
  // Returns whether bytes that were received have not been read yet.
  bool HasDecryptedInput();

  std::shared_ptr<TlsContext> mContext; // keeps the context of mNext alive
  Next mNext;
  Executor mExecutor;
  std::shared_ptr<Deadline> mDeadline;
  std::shared_ptr<Watch> mWatch;
  bool mIsTrying = false;         // TryReadSome reads
  bool mIsAwaiting = false;       // AwaitInput waits for input
  bool mHasEndedAwaiting = false; // without input
  std::optional<Duration> mUnacknowledgedLimit;
};

// Does the TLS handshake of an accepted connection, or returns the plain stream without a context.
Task<Result<std::unique_ptr<ByteStream>, NetError>> AcceptStream(
  Socket aSocket, std::shared_ptr<TlsContext> aContext, Duration aTimeout);

} // namespace masticstep::net
