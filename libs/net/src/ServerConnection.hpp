#pragma once

#include "EndDecision.hpp"
#include "masticstep/net/ByteStream.hpp"
#include "masticstep/net/HttpServer.hpp"

#include <boost/beast/core/flat_buffer.hpp>

#include <atomic>
#include <memory>
#include <optional>
#include <string>

namespace masticstep::net {

// Switches shared by a server and its connections.
struct ServerSwitches
{
  std::atomic<bool> closesAfterAnswers{ false };
  std::atomic<bool> isStopped{ false };
  std::atomic<std::shared_ptr<const ServerLimits>> limits;
  IntakeBudget intake{ ServerLimits{}.intakeBytes };
};

class StreamResponder;

// Reads the requests of one connection one after another and has them answered. Every event that
// may end the connection goes through DecideEnd.
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
  // The same, since others need the memory that it keeps.
  void EndForMemory();
  // Makes room for another connection: closes an idle one, and refuses a request that has stopped
  // to arrive. A new connection has some time for the first bytes of its request. Each one that has
  // stopped takes one from aQuota; with none left it stays.
  void GiveWay(std::atomic<std::size_t>& aQuota);
  IntakeId Id() const { return mId; }
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
    EndDecision decision;
    NetError error;
  };

  Task<Result<Incoming, Refused>> ReadRequest();
  // Waits for the first bytes of a request.
  Task<Result<void, Refused>> ReadFirstInput();
  // Accounts what the request keeps. Returns why it is refused, if it is.
  std::optional<Refused> Account(std::size_t aBodyBytes);
  // Reads some bytes into the buffer until aEnd, or what waits already after it.
  Task<Result<void, Refused>> ReadInput(Time aEnd);
  // Returns whether another request may follow.
  Task<bool> Answer(Incoming aIncoming);
  Task<void> SendRefusal(StreamResponder& aResponder, unsigned aStatus, NetError aError);
  // Reports and returns the refusal of a request that breaks the protocol or a limit.
  Refused Reject(unsigned aStatus, NetError aError);
  // The same for a request that is ended since others need what it keeps.
  Refused RejectForOthers();
  // Ends the request under way, which has not arrived whole.
  void EndForOthers(std::string_view aNeed);
  // Decides and reports the end.
  EndDecision Decide(EndCause aCause, bool aHasInput);
  // Returns whether the next request should be read although the server stops.
  bool MayReadNext();
  // Closes in a way that does not destroy the last answer.
  Task<void> Close();
  // Reads and drops input for a bounded time. Returns the number of bytes.
  Task<std::size_t> DropInput();

  const IntakeId mId;
  std::unique_ptr<ByteStream> mStream;
  std::string mSource;
  ServerLimits mLimits; // of the current request
  std::shared_ptr<HttpHandler> mHandler;
  std::shared_ptr<ServerSwitches> mSwitches;
  boost::beast::flat_buffer mBuffer;
  RequestStage mStage = RequestStage::None;
  std::size_t mReceivedBytes = 0; // of the current request
  Time mReceivedAt;               // its latest bytes, or the begin of the connection
  bool mHasAnswered = false;      // any request
  bool mIsRefused = false;
  std::optional<std::string> mNeedOfOthers; // ends the request
  bool mIsStopOverdue = false;              // what is not whole will not be served
};

} // namespace masticstep::net
