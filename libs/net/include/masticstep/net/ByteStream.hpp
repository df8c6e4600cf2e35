#pragma once

#include "masticstep/base/Result.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/net/HostPort.hpp"
#include "masticstep/net/NetError.hpp"
#include "masticstep/net/Task.hpp"

#include <functional>
#include <memory>
#include <span>
#include <string_view>

namespace masticstep::net {

class TlsContext;

// Default limit of SetUnacknowledgedLimit for connections that Connect opens.
constexpr Duration kUnacknowledgedLimit = Seconds(3);

// How the sending side of the peer ended.
enum class PeerEnd
{
  EndOfInput, // nothing more comes; the peer may still read
  Broken      // reset, or a TLS connection without its closing message
};

// TCP connection, plain or with TLS. All members must be used on the executor that the stream is
// attached to. A stream that timed out or failed is closed and stays closed.
class ByteStream
{
public:
  virtual ~ByteStream() = default;

  // Reads at least one byte and returns the number read; fails with Closed at the end of input.
  virtual Task<Result<std::size_t, NetError>> ReadSome(std::span<char> aBuffer,
                                                       Duration aTimeout) = 0;
  // Like ReadSome, but the stream stays open after a time-out or CancelRead, and input that was
  // taken from the socket by then is returned.
  virtual Task<Result<std::size_t, NetError>> TryReadSome(std::span<char> aBuffer,
                                                          Duration aTimeout) = 0;
  // Returns true once ReadSome would not have to wait: for input, the end of input or a failure.
  // Returns false when the time has passed or CancelAwait was called; the stream stays open. Must
  // not be used during ReadSome.
  virtual Task<bool> AwaitInput(Duration aTimeout) = 0;
  virtual void CancelAwait() = 0;
  virtual Task<Result<void, NetError>> WriteAll(std::string_view aBytes, Duration aTimeout) = 0;
  // Writes what fits without waiting and returns the number of bytes, which is 0 for TLS. Must not
  // be used during WriteAll.
  virtual Result<std::size_t, NetError> WriteNow(std::string_view aBytes) = 0;
  // Sends the end of input; reading goes on.
  virtual void EndWriting() = 0;
  // Returns whether the kernel has noted an error, such as the reset with which a closed peer
  // answers bytes that are sent to it.
  virtual bool IsBroken() = 0;
  // Sets how long written bytes may wait without being taken by the other side before the kernel
  // gives up the connection. The kernel does not distinguish a host that has vanished from a
  // process that does not read while its receive buffer is full.
  virtual void SetUnacknowledgedLimit(Duration aLimit) = 0;
  // Calls aCallback once when the sending side of the peer ends, until StopWatch. Must not be used
  // during ReadSome.
  virtual void WatchForEnd(std::function<void(PeerEnd)> aCallback) = 0;
  virtual void StopWatch() = 0;
  // Fails a read that waits for input with Cancelled. A read that has taken input is not affected.
  virtual void CancelRead() = 0;
  // Fails operations that wait with Cancelled.
  virtual void Close() = 0;
  // Like Close, but resets the connection, so that the peer sees a failure and no end of input.
  virtual void Abort() = 0;
  virtual bool IsOpen() const = 0;
  // Returns true if input or the end of input waits to be read.
  virtual bool HasInput() = 0;
  // Moves the stream to another executor. Must not be used during an operation.
  virtual void Attach(Executor aExecutor) = 0;
  // Drops the timer of the executor it was attached to. Only Attach may follow.
  virtual void Detach() = 0;
};

// Opens a plain connection for use on the current executor.
Task<Result<std::unique_ptr<ByteStream>, NetError>> Connect(HostPort aAddress, Duration aTimeout);

// Opens a TLS connection and verifies the certificate of the other side.
Task<Result<std::unique_ptr<ByteStream>, NetError>> ConnectTls(
  HostPort aAddress, Duration aTimeout, std::shared_ptr<TlsContext> aContext);

} // namespace masticstep::net
