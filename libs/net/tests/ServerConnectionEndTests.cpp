#include "ServerConnection.hpp"

#include "masticstep/net/Sleep.hpp"
#include "masticstep/testing/Test.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <deque>
#include <optional>
#include <variant>
#include <vector>

using namespace masticstep;
using namespace masticstep::net;

namespace {

namespace asio = boost::asio;

// What a read gives: bytes or a failure.
using ReadStep = std::variant<std::string, NetErrorKind>;

// What a connection did.
struct Outcome
{
  int handledCount = 0;
  std::string written;
  std::vector<ConnectionEnd> ends;
};

class RecordingHandler : public HttpHandler
{
public:
  explicit RecordingHandler(Outcome& aOutcome)
    : mOutcome(aOutcome)
  {
  }

  Task<void> Handle(HttpRequest, HttpResponder& aResponder) override
  {
    ++mOutcome.handledCount;
    HttpResponse response = JsonResponse(200, "{}");
    co_await aResponder.Send(std::move(response));
  }
  HttpResponse Refuse(unsigned aStatus, const NetError&) override
  {
    return JsonResponse(aStatus, "{}");
  }
  void OnConnectionEnd(const ConnectionEnd& aEnd) override { mOutcome.ends.push_back(aEnd); }

private:
  Outcome& mOutcome;
};

// Stream whose reads give the steps in order and then the end of input.
class ScriptedStream : public ByteStream
{
public:
  ScriptedStream(std::deque<ReadStep> aSteps, Outcome& aOutcome)
    : mSteps(std::move(aSteps))
    , mOutcome(aOutcome)
  {
  }

  Task<Result<std::size_t, NetError>> TryReadSome(std::span<char> aBuffer, Duration) override
  {
    if (mSteps.empty()) {
      co_return Failure(NetError{ NetErrorKind::Closed, {} });
    }
    const ReadStep step = mSteps.front();
    mSteps.pop_front();
    if (const NetErrorKind* const kind = std::get_if<NetErrorKind>(&step)) {
      co_return Failure(NetError{ *kind, {} });
    }
    co_return std::get<std::string>(step).copy(aBuffer.data(), aBuffer.size());
  }
  Task<Result<std::size_t, NetError>> ReadSome(std::span<char> aBuffer, Duration aTimeout) override
  {
    return TryReadSome(aBuffer, aTimeout);
  }
  Task<bool> AwaitInput(Duration) override { co_return HasInput(); }
  void CancelAwait() override {}
  Task<Result<void, NetError>> WriteAll(std::string_view aBytes, Duration) override
  {
    mOutcome.written += aBytes;
    co_return Result<void, NetError>{};
  }
  Result<std::size_t, NetError> WriteNow(std::string_view aBytes) override
  {
    mOutcome.written += aBytes;
    return aBytes.size();
  }
  void EndWriting() override {}
  bool IsBroken() override { return false; }
  void SetUnacknowledgedLimit(Duration) override {}
  void WatchForEnd(std::function<void(PeerEnd)>) override {}
  void StopWatch() override {}
  void CancelRead() override {}
  void Close() override { mIsOpen = false; }
  void Abort() override { Close(); }
  bool IsOpen() const override { return mIsOpen; }
  bool HasInput() override
  {
    return !mSteps.empty() && std::holds_alternative<std::string>(mSteps.front());
  }
  void Attach(Executor) override {}
  void Detach() override {}

private:
  std::deque<ReadStep> mSteps;
  Outcome& mOutcome;
  bool mIsOpen = true;
};

// Stream of a process that is suspended before the second read.
class SuspendedStream : public ScriptedStream
{
public:
  using ScriptedStream::ScriptedStream;

  // Called when the process goes on, before the bytes are read that wait.
  void OnResumed(std::function<void()> aCallback) { mOnResumed = std::move(aCallback); }

  Task<Result<std::size_t, NetError>> TryReadSome(std::span<char> aBuffer,
                                                  Duration aTimeout) override
  {
    constexpr Duration kSuspension = Milliseconds(1200);
    if (++mReads == 2) {
      co_await Sleep(kSuspension);
      mOnResumed();
    }
    co_return co_await ScriptedStream::TryReadSome(aBuffer, aTimeout);
  }

private:
  std::function<void()> mOnResumed;
  int mReads = 0;
};

std::shared_ptr<ServerConnection> MakeConnection(std::unique_ptr<ByteStream> aStream,
                                                 Outcome& aOutcome, bool aIsStopped = false)
{
  const std::shared_ptr<ServerSwitches> switches = std::make_shared<ServerSwitches>();
  ServerLimits limits;
  limits.idleTimeout = Duration{ 0 };
  switches->limits = std::make_shared<const ServerLimits>(limits);
  switches->isStopped = aIsStopped;
  switches->closesAfterAnswers = aIsStopped;
  return std::make_shared<ServerConnection>(std::move(aStream), "127.0.0.1",
                                            std::make_shared<RecordingHandler>(aOutcome), switches);
}

void Run(const std::shared_ptr<ServerConnection>& aConnection)
{
  asio::io_context context;
  asio::co_spawn(
    context, [aConnection] { return aConnection->Run(); }, asio::detached);
  context.run();
}

Outcome OutcomeOf(std::deque<ReadStep> aSteps, bool aIsStopped = false)
{
  Outcome outcome;
  Run(MakeConnection(std::make_unique<ScriptedStream>(std::move(aSteps), outcome), outcome,
                     aIsStopped));
  return outcome;
}

std::string StatusOf(const Outcome& aOutcome)
{
  return aOutcome.written.substr(0, 12);
}

const std::string kRequest = "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nab";
const std::string kHeadPart = "POST / HTT";
const std::string kBodyPart = "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\na";

} // namespace

// Guards against a request that is dropped because the deadline is seen before the input that
// waits. ServerConnectionTests.cpp has the other order.
MASTICSTEP_TEST("an expired deadline ends no connection that has input", "[net][end]")
{
  for (const NetErrorKind kind : { NetErrorKind::TimedOut, NetErrorKind::Cancelled }) {
    for (const std::size_t split : { std::size_t(0), kHeadPart.size(), kBodyPart.size() }) {
      std::deque<ReadStep> steps{ kind, kRequest.substr(split) };
      if (split > 0) {
        steps.push_front(kRequest.substr(0, split));
      }
      const Outcome outcome = OutcomeOf(std::move(steps));
      CHECK_EQUAL(1, outcome.handledCount);
      CHECK_EQUAL(std::string("HTTP/1.1 200"), StatusOf(outcome));
      CHECK_TRUE(outcome.ends.empty());
    }
  }
}

// Guards against requests that are refused for others although the rest of them has arrived, after
// the process was suspended.
MASTICSTEP_TEST("a request whose bytes wait to be read does not give way", "[net][end][stalled]")
{
  Outcome outcome;
  // Two reads follow, since a read that is under way is never given up.
  const std::string begin = "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\na";
  std::unique_ptr<SuspendedStream> stream =
    std::make_unique<SuspendedStream>(std::deque<ReadStep>{ begin, "b", "c" }, outcome);
  SuspendedStream& suspended = *stream;
  const std::shared_ptr<ServerConnection> connection = MakeConnection(std::move(stream), outcome);
  std::atomic<std::size_t> quota{ 1 };
  suspended.OnResumed([&] { connection->GiveWay(quota); });
  Run(connection);
  CHECK_EQUAL(std::string("HTTP/1.1 200"), StatusOf(outcome));
}

// Guards against a server that is kept busy by callers which come back as soon as they are refused.
MASTICSTEP_TEST("no more stopped requests give way than the quota allows", "[net][end][stalled]")
{
  for (const std::size_t left : { std::size_t{ 1 }, std::size_t{ 0 } }) {
    Outcome outcome;
    std::unique_ptr<SuspendedStream> stream = std::make_unique<SuspendedStream>(
      std::deque<ReadStep>{ kBodyPart, NetErrorKind::Closed }, outcome);
    SuspendedStream& stopped = *stream;
    const std::shared_ptr<ServerConnection> connection = MakeConnection(std::move(stream), outcome);
    std::atomic<std::size_t> quota{ left };
    stopped.OnResumed([&] { connection->GiveWay(quota); });
    Run(connection);
    const std::string expected = left > 0 ? "HTTP/1.1 408" : "HTTP/1.1 400";
    CHECK_EQUAL(expected, StatusOf(outcome));
    CHECK_EQUAL(std::size_t{ 0 }, quota.load());
  }
}

// Guards against a connection that ends with a part of a request and leaves no trace.
MASTICSTEP_TEST("the end of a connection within a request is answered and reported", "[net][end]")
{
  struct Case
  {
    NetErrorKind kind;
    EndCause cause;
    unsigned status;
  };
  for (const Case& it : { Case{ NetErrorKind::Closed, EndCause::EndOfInput, 400 },
                          Case{ NetErrorKind::TimedOut, EndCause::TimedOut, 408 },
                          Case{ NetErrorKind::Cancelled, EndCause::Stopped, 503 },
                          Case{ NetErrorKind::Reset, EndCause::Reset, 0 } }) {
    for (const RequestStage stage : { RequestStage::Head, RequestStage::Body }) {
      const std::string part = stage == RequestStage::Head ? kHeadPart : kBodyPart;
      const Outcome outcome = OutcomeOf({ part, it.kind });
      const std::string status = it.status == 0 ? "" : "HTTP/1.1 " + std::to_string(it.status);
      CHECK_EQUAL(0, outcome.handledCount);
      CHECK_EQUAL(status, StatusOf(outcome));
      CHECK_TRUE(outcome.ends == (std::vector<ConnectionEnd>{ { stage, it.cause, it.status } }));
    }
    CHECK_TRUE(OutcomeOf({ it.kind }).ends.empty());
    CHECK_EQUAL(std::string(), OutcomeOf({ it.kind }).written);
  }
}

// Guards against a request that waits in the socket when the server stops.
MASTICSTEP_TEST("a request that waits while the server stops is answered", "[net][end][drain]")
{
  const Outcome outcome = OutcomeOf({ kRequest }, true);
  CHECK_EQUAL(1, outcome.handledCount);
  CHECK_EQUAL(std::string("HTTP/1.1 200"), StatusOf(outcome));
  CHECK_TRUE(outcome.written.find("Connection: close") != std::string::npos);
}

// Guards against a request that is dropped unseen behind an answer that closes the connection.
MASTICSTEP_TEST("a request behind an answer that closes is reported", "[net][end]")
{
  const std::string last = "GET / HTTP/1.1\r\nConnection: close\r\n\r\n";
  for (const std::deque<ReadStep>& steps :
       { std::deque<ReadStep>{ last + kRequest }, std::deque<ReadStep>{ last, kRequest } }) {
    const Outcome outcome = OutcomeOf(steps);
    CHECK_EQUAL(1, outcome.handledCount);
    CHECK_TRUE(outcome.ends ==
               (std::vector<ConnectionEnd>{ { RequestStage::Head, EndCause::AnswerCloses, 0 } }));
  }
}
