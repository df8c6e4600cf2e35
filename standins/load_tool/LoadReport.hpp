#pragma once

#include "common/CompletionClient.hpp"

namespace masticstep::standins {

struct LoadTargets
{
  Duration firstToken = Milliseconds(1100);
  Duration betweenTokens = Milliseconds(67);
};

// Collects results. A request counts as good if its whole answer came, its first token within the
// target, and 95 in 100 of its tokens within the target after the one before.
class LoadReport
{
public:
  explicit LoadReport(const LoadTargets& aTargets);

  void Add(const CompletionCall& aCall, const CompletionResult& aResult);
  // aSpan is the length of the load, over which goodput is counted.
  boost::json::value ToJson(Duration aSpan) const;
  // Requests that neither ended whole nor were refused before they ran.
  std::uint64_t Failed() const { return mFailed; }

private:
  bool IsGood(const CompletionResult& aResult) const;

  LoadTargets mTargets;
  std::uint64_t mSent = 0;
  std::uint64_t mWhole = 0;
  std::uint64_t mGood = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mFailed = 0;
  std::uint64_t mWrongText = 0;
  std::uint64_t mTokens = 0;
  std::vector<Duration> mFirst;
  std::vector<Duration> mGaps;
  std::vector<std::string> mErrors;
};

} // namespace masticstep::standins
