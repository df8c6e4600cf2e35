#pragma once

#include "common/CompletionClient.hpp"

namespace masticstep::standins {

// Latency targets of a request.
struct LoadTargets
{
  Duration firstToken = Milliseconds(1100);
  Duration betweenTokens = Milliseconds(67);
};

// Aggregates results. Goodput counts the requests that completed within their targets: the first
// token arrived in time, and the 95th percentile of the intervals between tokens is within the
// target.
class LoadReport
{
public:
  explicit LoadReport(const LoadTargets& aTargets);

  void Add(const CompletionCall& aCall, const CompletionResult& aResult);
  // aSpan is the duration of the load; rates are averaged over it.
  boost::json::value ToJson(Duration aSpan) const;
  // Number of requests that neither completed nor were rejected with status 429, 503 or 504.
  std::uint64_t Failed() const { return mFailed; }

private:
  bool IsWithinTargets(const CompletionResult& aResult) const;

  LoadTargets mTargets;
  std::uint64_t mSent = 0;
  std::uint64_t mCompleted = 0;
  std::uint64_t mWithinTargets = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mFailed = 0;
  std::uint64_t mWrongText = 0;
  std::uint64_t mTokens = 0;
  std::vector<Duration> mFirstTokenLatencies;
  std::vector<Duration> mTokenIntervals;
  std::vector<std::string> mErrors;
};

} // namespace masticstep::standins
