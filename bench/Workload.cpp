#include "Workload.hpp"

#include "FakeEngine.hpp"
#include "masticstep/base/Random.hpp"

#include <algorithm>

namespace masticstep::bench {

namespace {

// Engine time of an output token: a step, divided among the streams that the KV blocks allow.
constexpr double kOutputTokenSeconds = 0.00035;
constexpr std::uint32_t kPrefixPieces = 8;
// Pieces of a prompt that all requests of one account and kind share.
constexpr std::uint32_t kSharedPieces = 2;
constexpr double kOrdersPerSecond = 3.0;

std::uint32_t Between(Random& aRandom, std::uint32_t aMinimum, std::uint32_t aMaximum)
{
  return aMinimum + static_cast<std::uint32_t>(aRandom.Below(aMaximum - aMinimum + 1));
}

double PromptSeconds(const RequestKind& aKind)
{
  return 0.5 * (aKind.promptMinimum + aKind.promptMaximum) * BatchingModel::kPromptTokenSeconds;
}

double OutputSeconds(const RequestKind& aKind)
{
  return 0.5 * (aKind.outputMinimum + aKind.outputMaximum) * kOutputTokenSeconds;
}

// Draws items of one kind with the given rate per second up to the end.
void Draw(std::vector<WorkItem>& aItems, const RequestKind& aShape, std::uint32_t aKind,
          const WorkloadOptions& aOptions, const std::function<double(double)>& aRate,
          bool aIsFlood, Random aRandom)
{
  // Thinning: candidates come at the largest rate and are kept with the rate's share of it.
  double largest = 1e-9;
  for (double at = 0.0; at < ToSeconds(aOptions.length); at += 1.0) {
    largest = std::max(largest, aRate(at));
  }
  double at = 0.0;
  while (true) {
    at += aRandom.Exponential(1.0 / largest);
    if (at >= ToSeconds(aOptions.length)) {
      return;
    }
    if (!aRandom.Chance(aRate(at) / largest)) {
      continue;
    }
    WorkItem item;
    item.arrival = Time{ FromSeconds(at) };
    item.kind = aKind;
    item.account = aIsFlood ? kFloodAccount : static_cast<std::uint32_t>(aRandom.Below(kAccounts));
    item.daemon = static_cast<std::uint32_t>(aRandom.Below(kDaemons));
    item.promptTokens = Between(aRandom, aShape.promptMinimum, aShape.promptMaximum);
    item.outputTokens = Between(aRandom, aShape.outputMinimum, aShape.outputMaximum);
    for (std::uint32_t i = 0; i < kPrefixPieces; ++i) {
      const std::uint64_t shared = (aKind * 1000ULL + item.account) * 100 + i + 1;
      item.prefixHashes.push_back(i < kSharedPieces ? shared : aRandom.Next());
    }
    aItems.push_back(std::move(item));
  }
}

} // namespace

Installation Kestrel()
{
  return { "kestrel",
           Milliseconds(20),
           Milliseconds(1),
           Seconds(5),
           40.0,
           { { "draft", 200, 500, 300, 600, Milliseconds(1100), Milliseconds(67), 10 },
             { "check", 3000, 5000, 30, 60, Milliseconds(3000), Milliseconds(400), 5 },
             { "order", 200, 400, 30, 90, Milliseconds(1100), Milliseconds(67), 10 } } };
}

Installation Saltire()
{
  return { "saltire",
           Milliseconds(20),
           Microseconds(500),
           Seconds(5),
           20.0,
           { { "query", 200, 600, 200, 500, Milliseconds(1100), Milliseconds(67), 10 },
             { "review", 4000, 8000, 60, 160, Milliseconds(4000), Milliseconds(400), 5 },
             { "order", 200, 400, 30, 90, Milliseconds(1100), Milliseconds(67), 10 } } };
}

std::vector<WorkItem> MakeWorkload(const Installation& aInstallation,
                                   const WorkloadOptions& aOptions)
{
  const RequestKind& stream = aInstallation.kinds[kStreamKind];
  const RequestKind& prompt = aInstallation.kinds[kPromptKind];
  const double streamWork = PromptSeconds(stream) + OutputSeconds(stream);
  const double promptWork = PromptSeconds(prompt) + OutputSeconds(prompt);
  const double streamShare = PromptSeconds(stream) / streamWork;
  const double promptShare = PromptSeconds(prompt) / promptWork;
  // Part of the work that prompt-heavy requests must bring for the wanted prefill share.
  const auto part = [&](double aAt) {
    return std::clamp((aOptions.prefillShare(aAt) - streamShare) / (promptShare - streamShare), 0.0,
                      1.0);
  };
  const double engines = aOptions.load * kModelEngines;
  const auto streamRate = [&](double aAt) { return engines * (1.0 - part(aAt)) / streamWork; };
  const auto promptRate = [&](double aAt) { return engines * part(aAt) / promptWork; };
  const auto orderRate = [](double) { return kOrdersPerSecond; };
  const auto floodRate = [&](double aAt) {
    return aAt < aOptions.floodFrom ? 0.0 : aOptions.floodLoad * kModelEngines / promptWork;
  };
  std::vector<WorkItem> items;
  Random random(aOptions.seed);
  Draw(items, stream, kStreamKind, aOptions, streamRate, false, Random(random.Next()));
  Draw(items, prompt, kPromptKind, aOptions, promptRate, false, Random(random.Next()));
  Draw(items, aInstallation.kinds[kOrderKind], kOrderKind, aOptions, orderRate, false,
       Random(random.Next()));
  if (aOptions.floodLoad > 0.0) {
    Draw(items, prompt, kPromptKind, aOptions, floodRate, true, Random(random.Next()));
  }
  std::stable_sort(items.begin(), items.end(), [](const WorkItem& aLeft, const WorkItem& aRight) {
    return aLeft.arrival < aRight.arrival;
  });
  return items;
}

} // namespace masticstep::bench
