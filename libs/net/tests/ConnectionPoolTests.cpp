#include "LoopbackServer.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/HttpClient.hpp"
#include "masticstep/testing/Test.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <future>
#include <thread>

using namespace masticstep;
using namespace masticstep::net;

namespace {

const std::string kWhole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

using Reply = Result<HttpResponse, FetchError>;

Reply Get(WorkerPool& aWorkers, ConnectionPool& aPool, const HostPort& aAddress,
          FetchLimits aLimits = {})
{
  return Await<Reply>(aWorkers, [&aPool, aAddress, aLimits] {
    return Fetch(aPool, aAddress, HttpRequest(), aLimits);
  });
}

} // namespace

// Guards against a new connection for each request, which costs a round trip.
MASTICSTEP_TEST("a connection is used again after a whole answer", "[net][pool]")
{
  std::atomic<std::size_t> last{ 0 };
  ScriptedServer server([&last](std::size_t aConnection, const std::string&) {
    last = aConnection;
    return kWhole;
  });
  WorkerPool workers(1);
  const std::shared_ptr<ConnectionPool> pool = ConnectionPool::Create();
  for (int i = 0; i < 3; ++i) {
    CHECK_EQUAL(std::string("ok"), Get(workers, *pool, server.Address())->body);
  }
  CHECK_EQUAL(0U, last.load());
  CHECK_EQUAL(1U, pool->IdleCount(server.Address()));
}

// Guards against an answer to an earlier message of a request that is taken for the answer to a
// later one on the same connection.
MASTICSTEP_TEST("an excluded connection stays in the pool and is not used", "[net][pool]")
{
  ScriptedServer server([](std::size_t /*aConnection*/, const std::string&) { return kWhole; });
  WorkerPool workers(1);
  const std::shared_ptr<ConnectionPool> pool = ConnectionPool::Create();
  const HostPort address = server.Address();
  CHECK_TRUE(Get(workers, *pool, address).has_value());
  const bool areOthersUsed = Await<bool>(workers, [&pool, address]() -> Task<bool> {
    Result<ConnectionPool::Lease, NetError> first = co_await pool->Acquire(address, Seconds(5));
    const ConnectionId used = (*first)->Id();
    const bool isPooled = !first->IsFresh();
    {
      const ConnectionPool::Lease returned = std::move(*first);
    }
    const ConnectionIds excluded{ used };
    const Result<ConnectionPool::Lease, NetError> other =
      co_await pool->AcquireOther(address, Seconds(5), Duration::max(), excluded);
    co_return isPooled && other->IsFresh() && pool->IdleCount(address) == 1;
  });
  CHECK_TRUE(areOthersUsed);
}

// Guards against one caller getting the rest of another caller's answer.
MASTICSTEP_TEST("a connection with an unfinished answer is never used again", "[net][pool]")
{
  ScriptedServer server([](std::size_t aConnection, const std::string&) {
    return aConnection == 0 ? std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nold")
                            : kWhole;
  });
  WorkerPool workers(1);
  const std::shared_ptr<ConnectionPool> pool = ConnectionPool::Create();
  const HostPort address = server.Address();
  const std::string part = Await<std::string>(workers, [&pool, address]() -> Task<std::string> {
    Result<ConnectionPool::Lease, NetError> lease = co_await pool->Acquire(address, Seconds(5));
    const HttpRequest request;
    co_await (*lease)->Send(request, Now() + Seconds(5));
    co_await (*lease)->ReadHead();
    const Result<std::string, NetError> first = co_await (*lease)->ReadBodySome();
    co_return *first;
  });
  CHECK_EQUAL(std::string("old"), part);
  CHECK_EQUAL(0U, pool->IdleCount(address));
  CHECK_EQUAL(std::string("ok"), Get(workers, *pool, address)->body);
}

// Guards against answers that arrive after their request and would be read by the next one.
MASTICSTEP_TEST("a connection with bytes after its answer is never used again", "[net][pool]")
{
  ScriptedServer server([](std::size_t aConnection, const std::string&) {
    return aConnection == 0 ? kWhole + kWhole : std::string(kWhole);
  });
  WorkerPool workers(1);
  const std::shared_ptr<ConnectionPool> pool = ConnectionPool::Create();
  CHECK_TRUE(Get(workers, *pool, server.Address()).has_value());
  CHECK_EQUAL(0U, pool->IdleCount(server.Address()));
}

// Guards against sending on a connection that the server closed while it was idle.
MASTICSTEP_TEST("a connection that the server closed is not used again", "[net][pool]")
{
  ScriptedServer server([](std::size_t aConnection, const std::string&) {
    return aConnection == 0 ? std::string("HTTP/1.1 200 OK\r\nConnection: close\r\n"
                                          "Content-Length: 2\r\n\r\nok")
                            : kWhole;
  });
  WorkerPool workers(1);
  const std::shared_ptr<ConnectionPool> pool = ConnectionPool::Create();
  CHECK_TRUE(Get(workers, *pool, server.Address()).has_value());
  CHECK_EQUAL(0U, pool->IdleCount(server.Address()));
  CHECK_EQUAL(std::string("ok"), Get(workers, *pool, server.Address())->body);
}

// Guards against descriptors held for servers that are not asked again.
MASTICSTEP_TEST("connections that were idle for too long are closed", "[net][pool][bounds]")
{
  const auto answer = [](std::size_t, const std::string&) { return kWhole; };
  ScriptedServer first(answer);
  ScriptedServer second(answer);
  WorkerPool workers(1);
  PoolLimits limits;
  limits.maximumIdle = Duration::zero();
  const std::shared_ptr<ConnectionPool> pool = ConnectionPool::Create(limits);
  CHECK_TRUE(Get(workers, *pool, first.Address()).has_value());
  CHECK_EQUAL(1U, pool->IdleCount(first.Address()));
  CHECK_TRUE(Get(workers, *pool, second.Address()).has_value());
  CHECK_EQUAL(0U, pool->IdleCount(first.Address()));
}

// Guards against connections that outlive their event loop, which corrupted the heap at exit.
MASTICSTEP_TEST("a closed pool keeps no connection", "[net][pool]")
{
  ScriptedServer server([](std::size_t, const std::string&) { return kWhole; });
  WorkerPool workers(1);
  const std::shared_ptr<ConnectionPool> pool = ConnectionPool::Create();
  CHECK_TRUE(Get(workers, *pool, server.Address()).has_value());
  CHECK_EQUAL(1U, pool->IdleCount(server.Address()));
  pool->Close();
  CHECK_EQUAL(0U, pool->IdleCount(server.Address()));
  CHECK_TRUE(Get(workers, *pool, server.Address()).has_value());
  CHECK_EQUAL(0U, pool->IdleCount(server.Address()));
}

// Guards against a false "not run": only a failed connection proves that no byte arrived.
MASTICSTEP_TEST("fetch errors tell whether the request may have arrived", "[net][not_run]")
{
  WorkerPool workers(1);
  const std::shared_ptr<ConnectionPool> pool = ConnectionPool::Create();
  HostPort unused;
  {
    ScriptedServer closed([](std::size_t, const std::string&) { return std::string(); });
    const Reply reply = Get(workers, *pool, closed.Address());
    CHECK_TRUE(reply.error().mayHaveArrived);
    CHECK_EQUAL(NetErrorKind::Closed, reply.error().error.kind);
    unused = closed.Address();
  }
  const Reply reply = Get(workers, *pool, unused);
  CHECK_FALSE(reply.error().mayHaveArrived);
  CHECK_EQUAL(NetErrorKind::ConnectFailed, reply.error().error.kind);
}

// Guards against waiting for ever for a server that accepts and stays silent.
MASTICSTEP_TEST("a silent server times out", "[net]")
{
  ScriptedServer server([](std::size_t, const std::string&) {
    return std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
  });
  WorkerPool workers(1);
  const std::shared_ptr<ConnectionPool> pool = ConnectionPool::Create();
  FetchLimits limits;
  limits.total = Milliseconds(50);
  const Reply reply = Get(workers, *pool, server.Address(), limits);
  CHECK_EQUAL(NetErrorKind::TimedOut, reply.error().error.kind);
}

// Guards against the kernel of the client giving up a connection whose server takes no bytes for a
// while, as a busy server may.
MASTICSTEP_TEST("a server that pauses before it reads a long request gets it whole",
                "[net][silence]")
{
  constexpr std::size_t kBodyBytes = 1000000;
  boost::asio::io_context context;
  using boost::asio::ip::tcp;
  tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  std::future<void> served = std::async(std::launch::async, [&acceptor] {
    tcp::socket socket = acceptor.accept();
    std::this_thread::sleep_for(Seconds(5));
    std::string text;
    boost::system::error_code ec;
    const std::size_t head =
      boost::asio::read_until(socket, boost::asio::dynamic_buffer(text), "\r\n\r\n", ec);
    const std::size_t left = ec ? 0 : head + kBodyBytes - text.size();
    boost::asio::read(socket, boost::asio::dynamic_buffer(text),
                      boost::asio::transfer_exactly(left), ec);
    boost::asio::write(socket, boost::asio::buffer(kWhole), ec);
  });
  WorkerPool workers(1);
  const std::shared_ptr<ConnectionPool> pool = ConnectionPool::Create();
  const HostPort address{ "127.0.0.1", acceptor.local_endpoint().port() };
  const Reply reply = Await<Reply>(workers, [&pool, address] {
    HttpRequest request{ "POST", "/", {}, std::string(kBodyBytes, 'x'), {} };
    const FetchLimits limits{ Seconds(1), Seconds(30), 1000 };
    return Fetch(*pool, address, std::move(request), limits);
  });
  served.get();
  CHECK_EQUAL(std::string(), reply ? std::string() : ToString(reply.error().error));
}

// Guards against an answer cut short by a crash that passes for a whole one.
MASTICSTEP_TEST("an answer that ends early is an error", "[net]")
{
  for (const char* head :
       { "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", "Content-Length: 9\r\n\r\npart" }) {
    ScriptedServer server([head](std::size_t, const std::string&) {
      return std::string("HTTP/1.1 200 OK\r\n") + head;
    });
    WorkerPool workers(1);
    const std::shared_ptr<ConnectionPool> pool = ConnectionPool::Create();
    const HostPort address = server.Address();
    const Reply reply = Await<Reply>(workers, [&pool, address] {
      HttpRequest request;
      request.target = "/close";
      return Fetch(*pool, address, std::move(request), {});
    });
    CHECK_EQUAL(NetErrorKind::Closed, reply.error().error.kind);
  }
}
