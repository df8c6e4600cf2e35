#pragma once

#include "History.hpp"
#include "MetadataStore.hpp"
#include "common/HttpServer.hpp"
#include "common/Signal.hpp"

#include <map>
#include <random>

namespace masticstep::soak {

// Shares of requests, 0 to 1, that an engine treats badly.
struct EngineFaults
{
  double refuses = 0.0;        // answered as not run
  double fails = 0.0;          // run and answered 500
  double losesAnswers = 0.0;   // run, and the connection is closed without an answer
  double sendsGarbage = 0.0;   // run and answered by bytes that are no signed answer
  double repeatsAnswers = 0.0; // the answer is sent a second time
  double cutsStreams = 0.0;    // closed in the middle of an event
  bool isDark = false;         // nothing is answered while this is on
};

struct EngineOptions
{
  std::string name; // start of its ids
  std::string service;
  std::string dataCentre;
  std::string stage; // "prefill" or "decode"; empty for an engine without prompts
};

// Memory of a prompt that an engine keeps until another one takes it.
struct KeptPrompt
{
  std::string callId;
  std::string engine;
};

// What the engines of a run share.
struct EngineRoom
{
  History* history = nullptr;
  MetadataStore* store = nullptr;
  std::map<std::string, KeptPrompt> prompts; // by ADDRESS/HANDLE
  std::mt19937_64 random;
};

// Stand-in for a backend server, in the platform's wire format. Each start has a new id.
class Engine : public standins::HttpHandler
{
public:
  Engine(EngineRoom& aRoom, EngineOptions aOptions);

  // Address that the entry in the store names; set before the first start.
  void SetAddress(std::string aAddress) { mAddress = std::move(aAddress); }
  // Enters the engine into the store, once that can be reached.
  Awaitable<void> Start();
  // Ends all work at once. The entry stays until Forget.
  void Crash();
  void Forget();
  // Announces the end of the engine and goes on serving until the next crash.
  Awaitable<void> Leave();
  // Removes the entry and enters it again, as after an outage of the store.
  Awaitable<void> EnterAgain(Duration aPause);
  bool IsUp() const { return mIsUp; }
  EngineFaults& Faults() { return mFaults; }
  void OnFaults() { mChanged.NotifyAll(); }

  Awaitable<void> Handle(standins::Exchange& aExchange) override;

private:
  struct Request
  {
    std::string callId;
    std::size_t arrival = 0;
    std::uint64_t life = 0; // start of the engine at which the request came
  };

  Awaitable<void> Control(standins::Exchange& aExchange);
  Awaitable<void> Order(standins::Exchange& aExchange);
  Awaitable<void> ChangeStage(std::string aStage);
  Awaitable<void> Refuse(standins::Exchange& aExchange, Request aRequest, unsigned aStatus);
  Awaitable<void> ReadPrompt(standins::Exchange& aExchange, Request aRequest);
  Awaitable<void> Answer(standins::Exchange& aExchange, Request aRequest);
  Awaitable<void> Stream(standins::Exchange& aExchange, Request aRequest);
  Awaitable<void> SendStream(standins::Exchange& aExchange, Request aRequest, std::size_t aRun);
  Awaitable<void> SendBadAnswer(standins::Exchange& aExchange, Request aRequest);
  Awaitable<void> WaitWhileDark(std::uint64_t aLife);
  bool IsLiving(std::uint64_t aLife) const { return mIsUp && mLife == aLife; }
  bool Happens(double aShare);
  bool IsAsSent(const standins::Exchange& aExchange) const;
  std::size_t BeginRun(const Request& aRequest, unsigned aStatus);
  void EndRun(std::size_t aRun, bool aHasCrashed);
  std::vector<standins::Header> Headers(const Request& aRequest, const std::string& aStamp) const;
  boost::json::value Entry() const;
  void WriteEntry();

  EngineRoom& mRoom;
  EngineOptions mOptions;
  std::string mAddress;
  std::string mId;
  std::string mStage;
  std::uint64_t mLife = 0;
  std::uint64_t mHandles = 0;
  std::uint64_t mRuns = 0;
  std::uint64_t mHighestFencing = 0;
  bool mIsUp = false;
  bool mIsLeaving = false;
  bool mIsChanging = false;
  EngineFaults mFaults;
  standins::Signal mChanged;
};

} // namespace masticstep::soak
