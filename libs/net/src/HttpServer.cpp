#include "masticstep/net/HttpServer.hpp"

#include "ServerConnection.hpp"
#include "SocketStream.hpp"
#include "SourceCounter.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/Sleep.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <utility>

namespace masticstep::net {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Bodies of the largest size that are kept together in any case.
constexpr std::size_t kLargestBodies = 3;

// Counts a connection while it exists.
class Served
{
public:
  explicit Served(std::atomic<std::size_t>& aCount)
    : mCount(aCount)
  {
    ++mCount;
  }
  ~Served() { --mCount; }
  Served(const Served&) = delete;
  Served& operator=(const Served&) = delete;

private:
  std::atomic<std::size_t>& mCount;
};

} // namespace

struct HttpServer::Core : public std::enable_shared_from_this<HttpServer::Core>
{

  Core(asio::io_context& aContext, const ServerLimits& aLimits,
       std::shared_ptr<HttpHandler> aHandler, std::shared_ptr<TlsContext> aTls)
    : mContext(aContext)
    , mAcceptor(asio::make_strand(aContext))
    , mHandler(std::move(aHandler))
    , mTls(std::move(aTls))
    , mSwitches(std::make_shared<ServerSwitches>())
    , mSources(aLimits.connectionsPerSource)
  {
    SetLimits(aLimits);
  }

  void SetLimits(const ServerLimits& aLimits)
  {
    mSwitches->limits = std::make_shared<const ServerLimits>(aLimits);
    mSwitches->intake.SetBound(std::max(aLimits.intakeBytes, kLargestBodies * aLimits.bodyBytes));
  }
  Result<void, NetError> Listen(const HostPort& aAddress);
  void StartAccepting();
  void Stop();

  Task<void> Accept();
  Task<void> Serve(Socket aSocket, std::string aSource);
  // Waits until the number of open connections allows another one. At the limit, idle connections
  // are closed and requests that have stopped to arrive are refused.
  Task<void> AwaitRoom();
  // Makes open connections give way to others.
  void MakeRoom(std::size_t aLimit);
  // Ends one request, whose memory others need.
  void EndForMemory(IntakeId aId);
  // Calls a member of each connection, on the connection's executor.
  void ForEachConnection(void (ServerConnection::*aMember)());

  struct Open
  {
    Executor executor;
    std::weak_ptr<ServerConnection> connection;
  };

  asio::io_context& mContext;
  tcp::acceptor mAcceptor;
  std::uint16_t mPort = 0;
  const std::shared_ptr<HttpHandler> mHandler;
  const std::shared_ptr<TlsContext> mTls;
  const std::shared_ptr<ServerSwitches> mSwitches;
  SourceCounter mSources;
  std::atomic<std::size_t> mServed{ 0 }; // connections, also those over the limit of their source
  std::mutex mMutex;
  std::map<const ServerConnection*, Open> mOpen;
};

Result<void, NetError> HttpServer::Core::Listen(const HostPort& aAddress)
{
  boost::system::error_code ec;
  const asio::ip::address address = asio::ip::make_address(aAddress.host, ec);
  if (ec) {
    return Failure(NetError{ NetErrorKind::InvalidAddress, aAddress.host + " is no IP address" });
  }
  const tcp::endpoint endpoint(address, aAddress.port);
  mAcceptor.open(endpoint.protocol(), ec);
  if (!ec) {
    mAcceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  }
  if (!ec) {
    mAcceptor.bind(endpoint, ec);
  }
  if (!ec) {
    mAcceptor.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    const std::string problem = "listen on " + ToString(aAddress) + ": " + ec.message();
    return Failure(NetError{ NetErrorKind::ConnectFailed, problem });
  }
  mPort = mAcceptor.local_endpoint().port();
  return {};
}

void HttpServer::Core::StartAccepting()
{
  asio::co_spawn(
    mAcceptor.get_executor(), [self = shared_from_this()] { return self->Accept(); },
    asio::detached);
}

Task<void> HttpServer::Core::Accept()
{
  // Running out of file descriptors must not end the acceptor, nor spin.
  constexpr Duration kPauseAfterError = Milliseconds(50);
  const std::shared_ptr<Core> self = shared_from_this();
  while (mAcceptor.is_open()) {
    co_await AwaitRoom();
    const asio::strand<asio::io_context::executor_type> strand = asio::make_strand(mContext);
    auto [ec, socket] =
      co_await mAcceptor.async_accept(strand, asio::as_tuple(asio::use_awaitable));
    if (ec) {
      if (mAcceptor.is_open()) {
        co_await Sleep(kPauseAfterError);
      }
      continue;
    }
    boost::system::error_code ignored;
    const tcp::endpoint remote = socket.remote_endpoint(ignored);
    socket.set_option(tcp::no_delay(true), ignored);
    std::string source = remote.address().to_string();
    asio::co_spawn(
      strand,
      [self, moved = Socket(std::move(socket)), source = std::move(source)]() mutable {
        return self->Serve(std::move(moved), std::move(source));
      },
      asio::detached);
  }
}

Task<void> HttpServer::Core::AwaitRoom()
{
  constexpr Duration kPollInterval = Milliseconds(10);
  constexpr Duration kCheckInterval = Milliseconds(250);
  const std::size_t limit = mSwitches->limits.load()->connections;
  if (mServed < limit || !mAcceptor.is_open()) {
    co_return;
  }
  Time nextCheck = Now();
  while (mServed >= limit && mAcceptor.is_open()) {
    if (Now() >= nextCheck) {
      MakeRoom(limit);
      nextCheck = Now() + kCheckInterval;
    }
    co_await Sleep(kPollInterval);
  }
}

void HttpServer::Core::MakeRoom(std::size_t aLimit)
{
  // Callers that come back at once must not cost more time than the ordinary ones.
  constexpr std::size_t kEndedPartOfLimit = 32;
  const std::shared_ptr<std::atomic<std::size_t>> quota =
    std::make_shared<std::atomic<std::size_t>>(
      std::max<std::size_t>(1, aLimit / kEndedPartOfLimit));
  const std::lock_guard<std::mutex> lock(mMutex);
  for (const auto& [key, open] : mOpen) {
    asio::post(open.executor, [weak = open.connection, quota] {
      if (const std::shared_ptr<ServerConnection> connection = weak.lock()) {
        connection->GiveWay(*quota);
      }
    });
  }
}

Task<void> HttpServer::Core::Serve(Socket aSocket, std::string aSource)
{
  const std::shared_ptr<Core> self = shared_from_this();
  const Served served(mServed);
  const bool isCounted = mSources.TryAdd(aSource);
  const Duration handshake = mSwitches->limits.load()->idleTimeout;
  Result<std::unique_ptr<ByteStream>, NetError> stream =
    co_await AcceptStream(std::move(aSocket), mTls, handshake);
  if (stream) {
    const std::shared_ptr<ServerConnection> connection =
      std::make_shared<ServerConnection>(std::move(*stream), aSource, mHandler, mSwitches);
    if (isCounted) {
      const Executor executor = co_await asio::this_coro::executor;
      {
        const std::lock_guard<std::mutex> lock(mMutex);
        mOpen[connection.get()] = { executor, connection };
      }
      co_await connection->Run();
      const std::lock_guard<std::mutex> lock(mMutex);
      mOpen.erase(connection.get());
    } else {
      // A named error: g++ 12 destroys a braced temporary in a co_await expression twice.
      NetError error{ NetErrorKind::Cancelled, "too many connections from " + aSource };
      co_await connection->RefuseAndClose(429, std::move(error));
    }
  }
  if (isCounted) {
    mSources.Remove(aSource);
  }
}

void HttpServer::Core::EndForMemory(IntakeId aId)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  for (const auto& [key, open] : mOpen) {
    if (key->Id() == aId) {
      asio::post(open.executor, [weak = open.connection] {
        if (const std::shared_ptr<ServerConnection> connection = weak.lock()) {
          connection->EndForMemory();
        }
      });
    }
  }
}

void HttpServer::Core::ForEachConnection(void (ServerConnection::*aMember)())
{
  const std::lock_guard<std::mutex> lock(mMutex);
  for (const auto& [key, open] : mOpen) {
    asio::post(open.executor, [weak = open.connection, aMember] {
      if (const std::shared_ptr<ServerConnection> connection = weak.lock()) {
        (connection.get()->*aMember)();
      }
    });
  }
}

void HttpServer::Core::Stop()
{
  mSwitches->closesAfterAnswers = true;
  mSwitches->isStopped = true;
  asio::post(mAcceptor.get_executor(), [self = shared_from_this()] {
    boost::system::error_code ec;
    self->mAcceptor.close(ec);
  });
  ForEachConnection(&ServerConnection::CloseIfIdle);
}

HttpServer::HttpServer(std::shared_ptr<Core> aCore)
  : mCore(std::move(aCore))
{
}

HttpServer::~HttpServer()
{
  mCore->Stop();
}

Result<std::unique_ptr<HttpServer>, NetError> HttpServer::Create(
  asio::io_context& aContext, const HostPort& aAddress, const ServerLimits& aLimits,
  std::shared_ptr<HttpHandler> aHandler, std::shared_ptr<TlsContext> aTls)
{
  const std::shared_ptr<Core> core =
    std::make_shared<Core>(aContext, aLimits, std::move(aHandler), std::move(aTls));
  const Result<void, NetError> listening = core->Listen(aAddress);
  if (!listening) {
    return Failure(listening.error());
  }
  core->mSwitches->intake.SetOnEnd([weak = std::weak_ptr<Core>(core)](IntakeId aId) {
    if (const std::shared_ptr<Core> strong = weak.lock()) {
      strong->EndForMemory(aId);
    }
  });
  core->StartAccepting();
  return std::unique_ptr<HttpServer>(new HttpServer(core));
}

std::uint16_t HttpServer::Port() const
{
  return mCore->mPort;
}

void HttpServer::SetLimits(const ServerLimits& aLimits)
{
  mCore->SetLimits(aLimits);
}

void HttpServer::OnIntakePressure(IntakeBudget::OnPressure aCallback)
{
  mCore->mSwitches->intake.SetOnPressure(std::move(aCallback));
}

void HttpServer::CloseAfterAnswers()
{
  mCore->mSwitches->closesAfterAnswers = true;
}

void HttpServer::StopAccepting()
{
  mCore->Stop();
}

void HttpServer::RefuseUnfinished()
{
  mCore->ForEachConnection(&ServerConnection::RefuseIfUnfinished);
}

std::size_t HttpServer::ConnectionCount() const
{
  return mCore->mSources.Total();
}

} // namespace masticstep::net
