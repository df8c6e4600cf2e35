#include "masticstep/net/HttpClientConnection.hpp"

#include "LoopbackServer.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/Sleep.hpp"
#include "masticstep/testing/Test.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <deque>
#include <optional>
#include <thread>
#include <vector>

using namespace masticstep;
using namespace masticstep::net;

namespace {

constexpr Duration kLongWait = Seconds(2);

// Stream whose input arrives in given parts, one for each read. Reads after them fail, or get the
// same part again and again.
class ScriptedStream : public ByteStream
{
public:
  explicit ScriptedStream(std::deque<std::string> aParts, NetErrorKind aEnd = NetErrorKind::Closed)
    : mParts(std::move(aParts))
    , mEnd(aEnd)
  {
  }

  void RepeatAfterwards(std::string aPart) { mRepeated = std::move(aPart); }

  // Called while the last part is read.
  void OnLastRead(std::function<void()> aCallback) { mOnLastRead = std::move(aCallback); }

  Task<Result<std::size_t, NetError>> ReadSome(std::span<char> aBuffer, Duration) override
  {
    if (mParts.empty() && !mRepeated.empty()) {
      co_return mRepeated.copy(aBuffer.data(), aBuffer.size());
    }
    if (mParts.empty()) {
      co_return Failure(NetError{ mEnd, {} });
    }
    const std::string part = mParts.front();
    mParts.pop_front();
    if (mParts.empty() && mOnLastRead) {
      mOnLastRead();
    }
    co_return part.copy(aBuffer.data(), aBuffer.size());
  }
  Task<Result<std::size_t, NetError>> TryReadSome(std::span<char> aBuffer,
                                                  Duration aTimeout) override
  {
    return ReadSome(aBuffer, aTimeout);
  }
  Task<bool> AwaitInput(Duration aTimeout) override
  {
    const bool hasInput = !mParts.empty() || !mRepeated.empty();
    if (!hasInput) {
      co_await Sleep(aTimeout);
    }
    co_return hasInput;
  }
  void CancelAwait() override {}
  void SetUnacknowledgedLimit(Duration) override {}
  Task<Result<void, NetError>> WriteAll(std::string_view, Duration) override
  {
    co_return Result<void, NetError>{};
  }
  Result<std::size_t, NetError> WriteNow(std::string_view aBytes) override { return aBytes.size(); }
  void EndWriting() override {}
  bool IsBroken() override { return false; }
  void WatchForEnd(std::function<void(PeerEnd)>) override {}
  void StopWatch() override {}
  void CancelRead() override {}
  void Close() override { mIsOpen = false; }
  void Abort() override { Close(); }
  bool IsOpen() const override { return mIsOpen; }
  bool HasInput() override { return !mParts.empty(); }
  void Attach(Executor) override {}
  void Detach() override {}

private:
  std::deque<std::string> mParts;
  std::string mRepeated;
  const NetErrorKind mEnd;
  std::function<void()> mOnLastRead;
  bool mIsOpen = true;
};

// Server that answers its only client at once, reads a part of the request and resets the
// connection.
class EarlyAnswerServer
{
public:
  EarlyAnswerServer(std::string aAnswer, std::size_t aReadBytes)
    : mAcceptor(mContext, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    , mThread([this, answer = std::move(aAnswer), aReadBytes] { Serve(answer, aReadBytes); })
  {
  }

  HostPort Address() const { return { "127.0.0.1", mAcceptor.local_endpoint().port() }; }

private:
  using Tcp = boost::asio::ip::tcp;

  void Serve(const std::string& aAnswer, std::size_t aReadBytes)
  {
    Tcp::socket socket = mAcceptor.accept();
    boost::asio::write(socket, boost::asio::buffer(aAnswer));
    std::string buf(aReadBytes, '\0');
    boost::asio::read(socket, boost::asio::buffer(buf));
    // Lets the client fill the buffers of the connection.
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    constexpr int kNoTime = 0;
    socket.set_option(boost::asio::socket_base::linger(true, kNoTime));
  }

  boost::asio::io_context mContext;
  Tcp::acceptor mAcceptor;
  std::jthread mThread;
};

// Returns the body of an answer of which these bytes arrive, or nothing if it is not whole.
std::optional<std::string> BodyOf(const std::string& aBytes, NetErrorKind aEnd)
{
  WorkerPool workers(1);
  const std::function<Task<std::optional<std::string>>()> read =
    [&]() -> Task<std::optional<std::string>> {
    HttpClientConnection connection(
      std::make_unique<ScriptedStream>(std::deque<std::string>{ aBytes }, aEnd),
      { "127.0.0.1", 1 });
    const HttpRequest request;
    co_await connection.Send(request, Now() + kLongWait);
    if (!co_await connection.ReadHead()) {
      co_return std::nullopt;
    }
    std::string body;
    Result<std::string, NetError> part = co_await connection.ReadBodySome();
    while (part && !part->empty()) {
      body += *part;
      part = co_await connection.ReadBodySome();
    }
    co_return part ? std::optional(body) : std::nullopt;
  };
  return Await<std::optional<std::string>>(workers, read);
}

} // namespace

// Guards against a part of an answer that is passed on as a whole one, of whatever request: the
// server stopped in the status line, a header, a chunk's size or the body.
MASTICSTEP_TEST("an answer that ends at any byte before its last is not whole", "[net][failure]")
{
  const std::string length = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX: y\r\n\r\nbody";
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                              "2;x=y\r\nbo\r\n2\r\ndy\r\n0\r\nT: z\r\n\r\n";
  const std::string unframedHead = "HTTP/1.1 200 OK\r\nX: y\r\n\r\n";
  for (const NetErrorKind end : { NetErrorKind::Closed, NetErrorKind::Reset }) {
    for (const std::string& answer : { length, chunked, unframedHead + "body" }) {
      for (std::size_t n = 1; n < answer.size(); ++n) {
        const bool mayEnd = answer.starts_with(unframedHead) && n >= unframedHead.size() &&
                            end == NetErrorKind::Closed;
        CHECK_EQUAL(mayEnd, BodyOf(answer.substr(0, n), end).has_value());
      }
      const bool isWhole = !answer.starts_with(unframedHead) || end == NetErrorKind::Closed;
      CHECK_EQUAL(isWhole ? "body" : std::string(), BodyOf(answer, end).value_or(""));
    }
  }
}

// Guards against a stream that is held up until its silent engine sends more, although another
// engine has accepted it: the wait was ended while a part of a chunk's size was read.
MASTICSTEP_TEST("a wait for a body that is ended during a read does not go on", "[net][silence]")
{
  WorkerPool workers(1);
  const std::function<Task<BodyState>()> wait = []() -> Task<BodyState> {
    std::unique_ptr<ScriptedStream> stream = std::make_unique<ScriptedStream>(
      std::deque<std::string>{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5" });
    ScriptedStream& parts = *stream;
    HttpClientConnection connection(std::move(stream), { "127.0.0.1", 1 });
    parts.OnLastRead([&connection] { connection.CancelAwait(); });
    const HttpRequest request;
    co_await connection.Send(request, Now() + kLongWait);
    co_await connection.ReadHead();
    co_return co_await connection.AwaitBody(kLongWait);
  };
  const Time begin = Now();
  CHECK_TRUE(Await<BodyState>(workers, wait) == BodyState::Waiting);
  CHECK_TRUE(Now() - begin < kLongWait / 2);
}

// Guards against undefined behaviour when a server greets a connection on which nothing was sent:
// there is no request whose answer could be parsed.
MASTICSTEP_TEST("bytes that no request asked for are not parsed as an answer", "[net]")
{
  const auto connect = [] {
    std::unique_ptr<ScriptedStream> stream = std::make_unique<ScriptedStream>(
      std::deque<std::string>{ "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" });
    return HttpClientConnection(std::move(stream), { "127.0.0.1", 1 });
  };
  WorkerPool workers(1);
  const std::function<Task<Result<HttpResponseHead, NetError>>()> readHead =
    [&connect]() -> Task<Result<HttpResponseHead, NetError>> {
    HttpClientConnection connection = connect();
    co_return co_await connection.ReadHead();
  };
  const Result<HttpResponseHead, NetError> head =
    Await<Result<HttpResponseHead, NetError>>(workers, readHead);
  CHECK_TRUE(!head && head.error().kind == NetErrorKind::Malformed);
  const std::function<Task<BodyState>()> awaitBody = [&connect]() -> Task<BodyState> {
    HttpClientConnection connection = connect();
    co_return co_await connection.AwaitBody(kLongWait);
  };
  CHECK_TRUE(Await<BodyState>(workers, awaitBody) == BodyState::Broken);
}

// Guards against a server whose bytes never end and keep the exchange alive beyond its deadline,
// since no single read has to wait.
MASTICSTEP_TEST("an exchange ends at its deadline while its server goes on sending",
                "[net][failure][endless]")
{
  struct Case
  {
    std::string begin;
    std::string repeated;
    bool isSkipped = false; // as the answer to another request
  };
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string extension = ";x=" + std::string(4000, 'y');
  const std::vector<Case> cases{
    { chunked, "1" + extension + "\r\nz\r\n" },
    { chunked, "1\r\n\n\r\n" },
    { chunked, "1" + extension + "\r\nz\r\n", true },
    { "HTTP/1.1 200 OK\r\n\r\n", "z" },
  };
  WorkerPool workers(1);
  for (const Case& endless : cases) {
    const std::function<Task<NetErrorKind>()> read = [&endless]() -> Task<NetErrorKind> {
      std::unique_ptr<ScriptedStream> stream =
        std::make_unique<ScriptedStream>(std::deque<std::string>{ endless.begin });
      stream->RepeatAfterwards(endless.repeated);
      HttpClientConnection connection(std::move(stream), { "127.0.0.1", 1 });
      const HttpRequest request;
      co_await connection.Send(request, Now() + Milliseconds(50));
      co_await connection.ReadHead();
      if (endless.isSkipped) {
        const Result<void, NetError> skipped = co_await connection.SkipAnswer();
        co_return skipped.error().kind;
      }
      Result<std::string, NetError> part = co_await connection.ReadBodySome();
      while (part) {
        part = co_await connection.ReadBodySome();
      }
      co_return part.error().kind;
    };
    CHECK_TRUE(Await<NetErrorKind>(workers, read) == NetErrorKind::TimedOut);
  }
}

// Guards against a wait for a body that never ends because bytes that are no body keep arriving.
MASTICSTEP_TEST("waits for a body end with their exchange while its server goes on sending",
                "[net][failure][endless]")
{
  WorkerPool workers(1);
  const std::function<Task<BodyState>()> wait = []() -> Task<BodyState> {
    std::unique_ptr<ScriptedStream> stream = std::make_unique<ScriptedStream>(
      std::deque<std::string>{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" });
    stream->RepeatAfterwards("1\r\nz\r\n");
    HttpClientConnection connection(std::move(stream), { "127.0.0.1", 1 });
    const HttpRequest request;
    co_await connection.Send(request, Now() + Milliseconds(50));
    co_await connection.ReadHead();
    BodyState state = BodyState::Ready;
    while (state == BodyState::Ready) {
      state = co_await connection.AwaitBody(kLongWait);
      if (state == BodyState::Ready) {
        co_await connection.ReadBodySome();
      }
    }
    co_return state;
  };
  CHECK_TRUE(Await<BodyState>(workers, wait) == BodyState::Broken);
}

// Guards against an answer that is lost although it has arrived, because the host was suspended
// before it was read.
MASTICSTEP_TEST("an answer that has arrived is read after the deadline", "[net][failure]")
{
  WorkerPool workers(1);
  const std::function<Task<std::string>()> read = []() -> Task<std::string> {
    HttpClientConnection connection(std::make_unique<ScriptedStream>(std::deque<std::string>{
                                      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "bo", "dy" }),
                                    { "127.0.0.1", 1 });
    const HttpRequest request;
    co_await connection.Send(request, Now() - Milliseconds(50));
    co_await connection.ReadHead();
    std::string body;
    Result<std::string, NetError> part = co_await connection.ReadBodySome();
    while (part && !part->empty()) {
      body += *part;
      part = co_await connection.ReadBodySome();
    }
    co_return body;
  };
  CHECK_EQUAL(std::string("body"), Await<std::string>(workers, read));
}

// Guards against answers that are passed on although their status means nothing in HTTP.
MASTICSTEP_TEST("an answer needs a status from 100 to 599", "[net][failure][mixed]")
{
  struct Case
  {
    std::string status;
    bool isAnswer;
  };
  const std::vector<Case> cases{ { "000", false }, { "001", false }, { "099", false },
                                 { "100", true },  { "200", true },  { "599", true },
                                 { "600", false }, { "999", false } };
  WorkerPool workers(1);
  for (const Case& answer : cases) {
    const std::function<Task<Result<HttpResponseHead, NetError>>()> readHead =
      [&answer]() -> Task<Result<HttpResponseHead, NetError>> {
      HttpClientConnection connection(
        std::make_unique<ScriptedStream>(std::deque<std::string>{
          "HTTP/1.1 " + answer.status + " X\r\nContent-Length: 0\r\n\r\n" }),
        { "127.0.0.1", 1 });
      const HttpRequest request;
      co_await connection.Send(request, Now() + kLongWait);
      co_return co_await connection.ReadHead();
    };
    const Result<HttpResponseHead, NetError> head =
      Await<Result<HttpResponseHead, NetError>>(workers, readHead);
    CHECK_EQUAL(answer.isAnswer, head.has_value());
    CHECK_TRUE(head || head.error().kind == NetErrorKind::Malformed);
  }
}

// Guards against a part of an answer that is taken for the whole: once a write has reported a
// reset, a later read reports an ordinary end, which would end a body without length.
MASTICSTEP_TEST("an early answer whose connection is reset during the upload is not whole",
                "[net][failure][mixed]")
{
  WorkerPool workers(1);
  for (const std::size_t requestBytes : { std::size_t{ 5 }, std::size_t{ 4000000 } }) {
    for (const std::size_t readBytes : { std::size_t{ 1 }, std::size_t{ 200000 } }) {
      if (readBytes > requestBytes) {
        continue;
      }
      EarlyAnswerServer server("HTTP/1.1 200 OK\r\n\r\npart of the answer", readBytes);
      const std::function<Task<bool>()> isWhole = [&]() -> Task<bool> {
        Result<std::unique_ptr<ByteStream>, NetError> stream =
          co_await Connect(server.Address(), kLongWait);
        HttpClientConnection connection(std::move(*stream), server.Address());
        HttpRequest request;
        request.method = "POST";
        request.body = std::string(requestBytes, 'x');
        co_await connection.Send(request, Now() + kLongWait);
        Result<HttpResponseHead, NetError> head = co_await connection.ReadHead();
        if (!head) {
          co_return false;
        }
        Result<std::string, NetError> part = co_await connection.ReadBodySome();
        while (part && !part->empty()) {
          part = co_await connection.ReadBodySome();
        }
        co_return part.has_value();
      };
      CHECK_FALSE(Await<bool>(workers, isWhole));
    }
  }
}
