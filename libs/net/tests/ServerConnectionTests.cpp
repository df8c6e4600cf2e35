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
  ConnectionBed()
    : mExecutor(asio::make_strand(mContext))
    , mClient(mContext)
    , mSwitches(std::make_shared<ServerSwitches>())
    , mHandler(std::make_shared<CountingHandler>())
  {
    tcp::acceptor acceptor(mContext, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    mClient.connect(acceptor.local_endpoint());
    std::unique_ptr<ByteStream> stream =
      std::make_unique<SocketStream<Socket>>(acceptor.accept(mExecutor), mExecutor, nullptr);
    mSwitches->limits = std::make_shared<const ServerLimits>();
    mConnection =
      std::make_shared<ServerConnection>(std::move(stream), "127.0.0.1", mHandler, mSwitches);
    asio::co_spawn(
      mExecutor, [connection = mConnection] { return connection->Run(); }, asio::detached);
    mContext.poll();
  }

  void Send(const std::string& aBytes) { asio::write(mClient, asio::buffer(aBytes)); }
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
  asio::io_context mContext{ 1 };
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
