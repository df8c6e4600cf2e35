#pragma once

#include "masticstep/net/HttpServer.hpp"
#include "masticstep/net/WorkerPool.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>

#include <functional>
#include <memory>
#include <string>

namespace masticstep::net {

// Handler made of a function.
class FunctionHandler : public HttpHandler
{
public:
  using Function = std::function<Task<void>(HttpRequest, HttpResponder&)>;

  explicit FunctionHandler(Function aFunction);

  Task<void> Handle(HttpRequest aRequest, HttpResponder& aResponder) override;
  HttpResponse Refuse(unsigned aStatus, const NetError& aError) override;

private:
  Function mFunction;
};

// Server on an ephemeral loopback port with its own workers.
class LoopbackServer
{
public:
  LoopbackServer(const ServerLimits& aLimits, FunctionHandler::Function aFunction,
                 std::shared_ptr<TlsContext> aTls = nullptr);
  ~LoopbackServer();
  LoopbackServer(const LoopbackServer&) = delete;
  LoopbackServer& operator=(const LoopbackServer&) = delete;

  HttpServer& Server() { return *mServer; }
  HostPort Address() const { return { "127.0.0.1", mServer->Port() }; }

private:
  WorkerPool mWorkers;
  std::unique_ptr<HttpServer> mServer;
};

// Blocking client that sends and reads raw bytes.
class RawClient
{
public:
  explicit RawClient(const HostPort& aAddress);

  void Send(const std::string& aText);
  // Reads until the text has arrived or the server closes.
  std::string ReadUntil(const std::string& aText);
  std::string ReadUntilClosed();
  // Returns whether the server reset the connection, which may destroy an answer on its way.
  bool WasReset() const { return mWasReset; }
  void Close();
  // Ends the sending side; answers can still be read.
  void EndSending();
  // Makes the kernel take few bytes for this client.
  void LimitReceiveBuffer();

private:
  void Note(boost::system::error_code aError);

  boost::asio::io_context mContext;
  boost::asio::ip::tcp::socket mSocket;
  bool mWasReset = false;
};

// Server that answers the n-th connection's requests with raw text. The connection is closed
// after an empty text and after the answer to GET /close.
class ScriptedServer
{
public:
  using Script = std::function<std::string(std::size_t aConnection, const std::string& aRequest)>;

  explicit ScriptedServer(Script aScript);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  HostPort Address() const;

private:
  Task<void> Accept();
  Task<void> Serve(boost::asio::ip::tcp::socket aSocket, std::size_t aConnection);

  Script mScript;
  WorkerPool mWorkers;
  boost::asio::ip::tcp::acceptor mAcceptor;
};

// Runs a coroutine on its own worker and returns its result.
template <class T>
T Await(WorkerPool& aWorkers, std::function<Task<T>()> aFunction)
{
  return boost::asio::co_spawn(boost::asio::make_strand(aWorkers.Context()), std::move(aFunction),
                               boost::asio::use_future)
    .get();
}

} // namespace masticstep::net
