#pragma once

#include "masticstep/base/Time.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace masticstep::bench {

// Kind of requests. Times of a class are assumptions where the requirements state none.
struct RequestKind
{
  std::string className;
  std::uint32_t promptMinimum;
  std::uint32_t promptMaximum;
  std::uint32_t outputMinimum;
  std::uint32_t outputMaximum;
  Duration firstToken;
  Duration betweenTokens;
  std::uint8_t priority;
};

// What differs between the two users.
struct Installation
{
  std::string name;
  Duration regionLatency;
  Duration dataCentreLatency;
  Duration roleChange;
  double changeCost;
  // Answers longer than prompts, prompts longer than answers, and requests to the ordering engines.
  std::vector<RequestKind> kinds;
};

Installation Kestrel();
Installation Saltire();

constexpr std::size_t kStreamKind = 0;
constexpr std::size_t kPromptKind = 1;
constexpr std::size_t kOrderKind = 2;

struct WorkItem
{
  Time arrival;
  std::uint32_t kind = 0;
  std::uint32_t account = 0;
  std::uint32_t daemon = 0;
  std::uint32_t promptTokens = 0;
  std::uint32_t outputTokens = 0;
  std::vector<std::uint64_t> prefixHashes;
};

// Just below what the clairvoyant baseline serves in full; less load hides every difference.
constexpr double kLoad = 0.8;

struct WorkloadOptions
{
  Duration length = Seconds(600);
  // Prefill share of the work at a time, in seconds since the start.
  std::function<double(double)> prefillShare;
  // Load as a share of the model engines' time.
  double load = kLoad;
  // Extra load of one account from floodFrom on.
  double floodLoad = 0.0;
  double floodFrom = 0.0;
  std::uint64_t seed = 20261204;
};

constexpr std::uint32_t kAccounts = 40;
constexpr std::uint32_t kFloodAccount = kAccounts;
constexpr std::uint32_t kDaemons = 8;
constexpr std::uint32_t kModelEngines = 18;
constexpr std::uint32_t kOrderEngines = 3;
constexpr std::uint32_t kEngines = kModelEngines + kOrderEngines;
constexpr std::uint32_t kDataCentres = 3;

std::vector<WorkItem> MakeWorkload(const Installation& aInstallation,
                                   const WorkloadOptions& aOptions);

} // namespace masticstep::bench
