#pragma once

#include "Engine.hpp"
#include "History.hpp"
#include "MetadataStore.hpp"
#include "support/Process.hpp"

#include <memory>
#include <string>
#include <thread>

namespace masticstep::hostile {

// Limits of the machine and of requests that a test sets.
struct MachineLimits
{
  std::size_t memoryMegabytes = 64;
  std::size_t fileDescriptors = 4096;
  std::size_t bodyBytes = 2097152;
};

// One `masticstep relay` process with a store and a plain service that run in this process.
class RelayProcess
{
public:
  explicit RelayProcess(const MachineLimits& aLimits);
  ~RelayProcess();
  RelayProcess(const RelayProcess&) = delete;
  RelayProcess& operator=(const RelayProcess&) = delete;

  standins::Address Callers() const;
  bool IsRunning() { return mProcess->IsRunning(); }
  // Returns the largest resident memory that the process has had.
  std::size_t PeakBytes() const;
  // Waits until the process has taken what has been sent to it: its memory grows no more.
  void AwaitQuiet() const;
  std::size_t OpenDescriptors() const;
  // Sends ordinary requests until one is answered with success; false if none is within the limit,
  // which only bounds a failing test.
  bool AnswersOrdinaryRequest(Duration aLimit, std::size_t aBodyBytes = 0);

private:
  void WriteSettings(const MachineLimits& aLimits) const;
  unsigned StatusOfRequest(std::size_t aBodyBytes);

  std::string mFolder;
  std::string mIp;
  boost::asio::io_context mContext;
  soak::History mHistory;
  soak::MetadataStore mStore;
  soak::EngineSharedState mShared;
  std::unique_ptr<soak::Engine> mEngine;
  std::unique_ptr<standins::HttpServer> mStoreServer;
  std::unique_ptr<standins::HttpServer> mEngineServer;
  std::unique_ptr<integration::Process> mProcess;
  std::size_t mCalls = 0;
  std::thread mLoop;
};

} // namespace masticstep::hostile
