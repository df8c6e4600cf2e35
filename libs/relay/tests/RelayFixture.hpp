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

// Dialect with simple header names: Id, Signed, Not-Run, Read-Only, Source, Resume-After, Parts
// (ids of the prompt parts, by default "1,2"); of callers Last-Event-Id and Resumes.
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
  net::HttpHeaders AuthenticationChallenge() const override;
};

// Reaction of a scripted backend server to one request.
struct ScriptedResponse
{
  std::string text; // raw bytes to send
  enum class Then
  {
    KeepOpen,
    Close,
    Reset,
    Crash // closes the connection and refuses all new ones
  } then = Then::KeepOpen;
  std::string repeated{}; // sent again and again afterwards, until the client closes
  Duration silence{ 0 };  // after the text
  std::string afterSilence{};
  std::string late{}; // sent when the next request on the connection arrives, before its answer
};

// Loopback backend server that responds through a function and records the requests.
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
  // Blocks until a client has closed its connection.
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

// Relay that serves callers on loopback.
class RelayFixture
{
public:
  // Routes to the service "plain": /once/ (not repeatable), /again/ (idempotent, two attempts) and
  // /soon/ (not repeatable, timeout of 50 ms). Routes to the service "llm": /stream/ and /resume/
  // (resumable, two attempts), /single/ (resumable, one attempt) and /brief/ (timeout of 600 ms).
  explicit RelayFixture(bool aHasTable = true);
  ~RelayFixture();
  RelayFixture(const RelayFixture&) = delete;
  RelayFixture& operator=(const RelayFixture&) = delete;

  // Adds a backend server. Earlier ones are preferred, since later ones are farther away.
  void Add(const std::string& aId, const std::string& aService, const ScriptedBackend& aBackend,
           dispatch::Stage aStage = dispatch::Stage::Whole,
           const std::string& aSoftwareVersion = "v1");
  // Adds a backend server at a port of the loopback address.
  void AddAt(const std::string& aId, const std::string& aService, std::uint16_t aPort,
             dispatch::Stage aStage, const std::string& aSoftwareVersion = "v1");
  void Remove(const std::string& aId);
  void SetStage(const std::string& aId, dispatch::Stage aStage);
  // Adds a backend server that refuses connections.
  void AddUnreachable(const std::string& aId, const std::string& aService, dispatch::Stage aStage);
  // Sends one request on a new connection and returns all bytes until the relay closes it.
  std::string SendRequest(const std::string& aMethod, const std::string& aPath,
                          const std::string& aExtraHeaders = {}, const std::string& aId = "c1");
  std::unique_ptr<net::RawClient> Connect() const;
  // Puts a configuration into force that splits the route /resume/.
  void SplitResume(std::vector<dispatch::ServiceShare> aShares);
  // Lets the relay know that no other software version was in service before it started.
  void CompleteHistory();
  // Must be called before the first request.
  void SetRetryBounds(dispatch::RetryBounds aBounds) { mState->retryBudget.SetBounds(aBounds); }
  // Puts a configuration with these accounts into force; the dialect reads keys from Key headers.
  void SetAccounts(std::vector<accounts::ClientAccount> aAccounts);
  // Limits the age of the configuration by which keys are accepted.
  void SetFreshness(accounts::ConfigurationFreshness aFreshness);
  // Returns how many requests of the account began to run.
  std::uint32_t UsageOf(const AccountName& aAccount);
  // Turns second tries on; must be called before the first request.
  void SetHedging(hedging::HedgeOptions aOptions)
  {
    mState->hedges = hedging::HedgePolicy(aOptions);
  }
  // Returns how many second tries ended so.
  std::uint64_t SecondTries(const std::string& aResult);
  // Puts a part of prompts into quarantine.
  void Quarantine(std::uint64_t aPart);
  // Returns how many connections of callers ended with a request for this reason.
  std::uint64_t ConnectionEnds(const std::string& aReason);
  // What the answers of backend servers may take in memory, beyond what each is always granted.
  net::ByteBudget& AnswerBytes() const { return *mState->answerBytes; }
  static std::string RequestText(const std::string& aMethod, const std::string& aPath,
                                 const std::string& aExtraHeaders = {},
                                 const std::string& aId = "c1");

private:
  void ApplyBackends();
  // Runs the function on the thread of the relay and waits for it.
  void RunOnRelay(std::function<void()> aFunction);

  net::WorkerPool mWorkers;
  std::shared_ptr<RelayState> mState;
  std::unique_ptr<net::HttpServer> mServer;
  std::vector<dispatch::Backend> mBackends;
};

// Complete signed response of a backend server, by default to the call "c1".
std::string SignedResponse(unsigned aStatus, const std::string& aBody,
                           const std::string& aId = "c1");
// Head, events with ids aFrom to aTo, and end of a chunked event stream.
std::string StreamHead();
std::string Events(int aFrom, int aTo);
std::string StreamEnd();

} // namespace masticstep::relay
