#pragma once

#include "LoopbackServer.hpp"
#include "masticstep/dispatch/Backend.hpp"
#include "masticstep/relay/Dialect.hpp"
#include "masticstep/relay/RelayState.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace masticstep::relay {

// Plain words for the messages of tests: Id, Signed, Not-Run, Read-Only, Source, Resume-After.
class TestDialect : public Dialect
{
public:
  Result<Call, CallError> ParseCall(net::HttpRequest aRequest) const override;
  net::HttpRequest BuildBackendRequest(const Call& aCall,
                                       const SendOptions& aOptions) const override;
  BackendResponseHead ParseResponseHead(const net::HttpResponseHead& aHead) const override;
  net::HttpHeaders SelectCallerHeaders(const net::HttpHeaders& aHeaders) const override;
  std::optional<std::string> ParseKvCacheHandle(std::string_view aBody) const override;
  net::HttpRequest BuildKvCacheRelease(const KvCacheHandle& aHandle) const override;
};

// What a scripted backend server does with one request.
struct ScriptedResponse
{
  std::string text; // raw bytes
  enum class Then
  {
    KeepOpen,
    Close,
    Reset
  } then = Then::KeepOpen;
};

// Backend server on loopback that answers by a function and records what it got.
class ScriptedBackend
{
public:
  using Script = std::function<ScriptedResponse(const std::string& aRequest)>;

  explicit ScriptedBackend(Script aScript);
  ~ScriptedBackend();
  ScriptedBackend(const ScriptedBackend&) = delete;
  ScriptedBackend& operator=(const ScriptedBackend&) = delete;

  std::uint16_t Port() const;
  std::vector<std::string> Requests() const;
  // Waits until a connection was closed by the other side.
  void WaitForClose();

private:
  net::Task<void> Accept();
  net::Task<void> Serve(boost::asio::ip::tcp::socket aSocket);

  Script mScript;
  mutable std::mutex mMutex;
  std::vector<std::string> mRequests;
  std::promise<void> mClosed;
  std::atomic<bool> mIsClosed{ false };
  net::WorkerPool mWorkers;
  boost::asio::ip::tcp::acceptor mAcceptor;
};

// Relay with callers on loopback.
class RelayFixture
{
public:
  // Routes: /once/ (not repeatable), /again/ (idempotent, two attempts) to the service "plain", and
  // /stream/, /resume/ (resumable, two attempts) to the service "llm", and /soon/ with a timeout of
  // 50 ms to "plain".
  explicit RelayFixture(bool aHasTable = true);
  ~RelayFixture();
  RelayFixture(const RelayFixture&) = delete;
  RelayFixture& operator=(const RelayFixture&) = delete;

  // Adds a backend server. The earlier ones are preferred, since later ones are further away.
  void Add(const std::string& aId, const std::string& aService, const ScriptedBackend& aBackend,
           dispatch::Stage aStage = dispatch::Stage::Whole);
  // Adds a backend server that takes no connections.
  void AddUnreachable(const std::string& aId, const std::string& aService, dispatch::Stage aStage);
  // Sends one request on a new connection and returns what comes until the relay closes it.
  std::string SendRequest(const std::string& aMethod, const std::string& aPath);
  std::unique_ptr<net::RawClient> Connect() const;
  static std::string RequestText(const std::string& aMethod, const std::string& aPath);

private:
  void AddAt(const std::string& aId, const std::string& aService, std::uint16_t aPort,
             dispatch::Stage aStage);

  net::WorkerPool mWorkers;
  std::shared_ptr<RelayState> mState;
  std::unique_ptr<net::HttpServer> mServer;
  std::vector<dispatch::Backend> mBackends;
};

// Whole answer of a backend server to the call "c1".
std::string SignedResponse(unsigned aStatus, const std::string& aBody,
                           const std::string& aId = "c1");
// Head of a chunked event stream, and events with the ids from aFrom to aTo.
std::string StreamHead();
std::string Events(int aFrom, int aTo);
std::string StreamEnd();

} // namespace masticstep::relay
