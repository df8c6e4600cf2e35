#pragma once

#include "masticstep/net/ByteStream.hpp"
#include "masticstep/net/HttpServer.hpp"

#include <boost/beast/core/flat_buffer.hpp>

#include <atomic>
#include <memory>
#include <string>

namespace masticstep::net {

// Switches shared by a server and its connections.
struct ServerSwitches
{
  std::atomic<bool> closesAfterAnswers{ false };
  std::atomic<bool> isStopped{ false };
  std::atomic<std::shared_ptr<const ServerLimits>> limits;
};

// Reads the requests of one connection one after another and has them answered.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  ServerConnection(std::unique_ptr<ByteStream> aStream, std::string aSource,
                   std::shared_ptr<HttpHandler> aHandler,
                   std::shared_ptr<ServerSwitches> aSwitches);

  // Serves until the connection ends.
  Task<void> Run();
  // Closes the connection if no request has begun to arrive.
  void CloseIfIdle();
  // Refuses a request that has begun to arrive and is not whole.
  void RefuseIfUnfinished();
  // Answers with a refusal and closes.
  Task<void> RefuseAndClose(unsigned aStatus, NetError aError);

private:
  struct Incoming
  {
    HttpRequest request;
    bool keepsAlive = true;
    bool isVersion10 = false;
  };
  struct Refused
  {
    unsigned status = 0; // 0: close without an answer
    NetError error;
  };

  Task<Result<Incoming, Refused>> ReadRequest();
  // Reads some bytes into the buffer.
  Task<Result<void, NetError>> ReadInput(Duration aTimeout);
  Task<bool> Answer(Incoming aIncoming);

  std::unique_ptr<ByteStream> mStream;
  std::string mSource;
  ServerLimits mLimits; // of the current request
  std::shared_ptr<HttpHandler> mHandler;
  std::shared_ptr<ServerSwitches> mSwitches;
  boost::beast::flat_buffer mBuffer;
  bool mIsIdle = true;
  bool mIsRefused = false; // see RefuseIfUnfinished
};

} // namespace masticstep::net
