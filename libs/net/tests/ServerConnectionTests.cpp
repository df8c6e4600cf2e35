#include "ServerConnection.hpp"

#include "SocketStream.hpp"
#include "masticstep/testing/Test.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>

#include <functional>
#include <thread>

using namespace masticstep;
using namespace masticstep::net;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

class CountingHandler : public HttpHandler
{
public:
  Task<void> Handle(HttpRequest, HttpResponder& aResponder) override
  {
    ++count;
    HttpResponse response = JsonResponse(200, "{}");
    co_await aResponder.Send(std::move(response));
  }
  HttpResponse Refuse(unsigned aStatus, const NetError&) override
  {
    return JsonResponse(aStatus, "{}");
  }

  int count = 0;
};

// A connection on an event loop that the test turns by hand.
class ConnectionBed
{
public:
  explicit ConnectionBed(const ServerLimits& aLimits = {}, int aThreads = 1)
    : mContext(aThreads)
    , mExecutor(asio::make_strand(mContext))
    , mClient(mContext)
    , mSwitches(std::make_shared<ServerSwitches>())
    , mHandler(std::make_shared<CountingHandler>())
  {
    tcp::acceptor acceptor(mContext, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    mClient.connect(acceptor.local_endpoint());
    std::unique_ptr<ByteStream> stream =
      std::make_unique<SocketStream<Socket>>(acceptor.accept(mExecutor), mExecutor, nullptr);
    mSwitches->limits = std::make_shared<const ServerLimits>(aLimits);
    mConnection =
      std::make_shared<ServerConnection>(std::move(stream), "127.0.0.1", mHandler, mSwitches);
    asio::co_spawn(
      mExecutor, [connection = mConnection] { return connection->Run(); }, asio::detached);
    mContext.poll();
  }

  void Send(const std::string& aBytes) { asio::write(mClient, asio::buffer(aBytes)); }
  void SetLimits(const ServerLimits& aLimits)
  {
    mSwitches->limits = std::make_shared<const ServerLimits>(aLimits);
  }
  // Lets the time pass without turning the loop, as when the process stands still.
  void StandStill(Duration aTime) { std::this_thread::sleep_for(aTime); }
  void Turn() { mContext.poll(); }
  // Runs the loop on two threads; one is held up by the function on the executor of the connection.
  void RunWhileHeldUp(const std::function<void()>& aFunction)
  {
    asio::post(mExecutor, aFunction);
    std::thread other([this] { mContext.run_for(Milliseconds(400)); });
    mContext.run_for(Milliseconds(400));
    other.join();
  }
  // Does what a server does to its connections when it stops. Input that waits now is taken from
  // the socket before, but the connection hears of it afterwards.
  void StopServer()
  {
    mSwitches->closesAfterAnswers = true;
    mSwitches->isStopped = true;
    asio::post(mContext, [this] {
      asio::post(mExecutor, [connection = mConnection] { connection->CloseIfIdle(); });
    });
    mContext.poll();
  }
  std::string ReadUntilClosed()
  {
    std::string text;
    boost::system::error_code ec;
    asio::read(mClient, asio::dynamic_buffer(text), ec);
    return text;
  }
  int HandledCount() const { return mHandler->count; }

private:
  asio::io_context mContext;
  Executor mExecutor;
  tcp::socket mClient;
  std::shared_ptr<ServerSwitches> mSwitches;
  std::shared_ptr<CountingHandler> mHandler;
  std::shared_ptr<ServerConnection> mConnection;
};

} // namespace

MASTICSTEP_TEST("a stop closes a connection without a request", "[net][drain]")
{
  ConnectionBed bed;
  bed.StopServer();
  CHECK_EQUAL(std::string(), bed.ReadUntilClosed());
  CHECK_EQUAL(0, bed.HandledCount());
}

// Guards against a request that was handled although its connection had just been closed: the event
// loop had taken the request from the socket, and the stop came before the connection saw it.
MASTICSTEP_TEST("a request that arrives as the server stops is answered", "[net][drain]")
{
  ConnectionBed bed;
  bed.Send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
  bed.StopServer();
  const std::string answer = bed.ReadUntilClosed();
  CHECK_EQUAL(1, bed.HandledCount());
  CHECK_EQUAL(std::string("HTTP/1.1 200"), answer.substr(0, 12));
  CHECK_TRUE(answer.find("Connection: close") != std::string::npos);
}

// Guards against requests that were dropped after the idle limit had been raised, since their
// connections kept the deadline of the old limit.
MASTICSTEP_TEST("a raised idle limit holds for connections that are idle", "[net][end]")
{
  ServerLimits limits;
  limits.idleTimeout = Milliseconds(50);
  ConnectionBed bed(limits);
  limits.idleTimeout = Seconds(60);
  bed.SetLimits(limits);
  bed.StandStill(Milliseconds(100));
  bed.Turn();
  bed.Send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  bed.Turn();
  CHECK_EQUAL(1, bed.HandledCount());
  CHECK_EQUAL(std::string("HTTP/1.1 200"), bed.ReadUntilClosed().substr(0, 12));
}

// Guards against a request that was dropped because its connection heard of the deadline between
// the read and its end.
MASTICSTEP_TEST("a request that was taken before the idle deadline is answered", "[net][end]")
{
  ServerLimits limits;
  limits.idleTimeout = Milliseconds(50);
  constexpr int kThreads = 2;
  ConnectionBed bed(limits, kThreads);
  // The deadline passes, and then the request is taken from the socket, while the connection waits
  // for its turn.
  bed.RunWhileHeldUp([&bed] {
    std::this_thread::sleep_for(Milliseconds(100));
    bed.Send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    std::this_thread::sleep_for(Milliseconds(100));
  });
  CHECK_EQUAL(1, bed.HandledCount());
  CHECK_EQUAL(std::string("HTTP/1.1 200"), bed.ReadUntilClosed().substr(0, 12));
}
