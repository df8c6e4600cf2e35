#include "load_tool/LoadReport.hpp"

#include <algorithm>

namespace masticstep::standins {

namespace {

constexpr std::size_t kMaxErrors = 5;
constexpr double kTargetQuantile = 0.95;

// Returns a quantile of the values in milliseconds, or 0 if there are none.
double QuantileMs(std::vector<Duration> aValues, double aQuantile)
{
  if (aValues.empty()) {
    return 0;
  }
  const std::size_t last = aValues.size() - 1;
  const std::size_t n = std::min(last, static_cast<std::size_t>(aQuantile * aValues.size()));
  std::nth_element(aValues.begin(), aValues.begin() + static_cast<std::ptrdiff_t>(n),
                   aValues.end());
  return ToSeconds(aValues[n]) * 1000.0;
}

boost::json::value Quantiles(const std::vector<Duration>& aValues)
{
  return { { "p50", QuantileMs(aValues, 0.50) },
           { "p95", QuantileMs(aValues, kTargetQuantile) },
           { "p99", QuantileMs(aValues, 0.99) } };
}

} // namespace

LoadReport::LoadReport(const LoadTargets& aTargets)
  : mTargets(aTargets)
{
}

void LoadReport::Add(const CompletionCall& aCall, const CompletionResult& aResult)
{
  ++mSent;
  mTokens += aResult.tokens;
  if (aResult.tokens > 0) {
    mFirstTokenLatencies.push_back(aResult.firstToken - aResult.sent);
  }
  mTokenIntervals.insert(mTokenIntervals.end(), aResult.gaps.begin(), aResult.gaps.end());
  if (aResult.IsWholeAnswerTo(aCall)) {
    ++mCompleted;
    mWithinTargets += IsWithinTargets(aResult) ? 1 : 0;
    return;
  }
  mWrongText += aResult.isComplete ? 1 : 0;
  const bool isRefusal = aResult.status == 429 || aResult.status == 503 || aResult.status == 504;
  (isRefusal ? mRefused : mFailed) += 1;
  if (mErrors.size() < kMaxErrors) {
    mErrors.push_back(std::to_string(aResult.status) + " " + aResult.error);
  }
}

bool LoadReport::IsWithinTargets(const CompletionResult& aResult) const
{
  const double limitMs = ToSeconds(mTargets.betweenTokens) * 1000.0;
  return aResult.firstToken - aResult.sent <= mTargets.firstToken &&
         QuantileMs(aResult.gaps, kTargetQuantile) <= limitMs;
}

boost::json::value LoadReport::ToJson(Duration aSpan) const
{
  boost::json::array errors;
  for (const std::string& error : mErrors) {
    errors.emplace_back(error);
  }
  const double seconds = ToSeconds(aSpan);
  return { { "sent", mSent },
           { "whole", mCompleted },
           { "refused", mRefused },
           { "failed", mFailed },
           { "wrong_text", mWrongText },
           { "goodput_per_s", static_cast<double>(mWithinTargets) / seconds },
           { "tokens_per_s", static_cast<double>(mTokens) / seconds },
           { "first_token_ms", Quantiles(mFirstTokenLatencies) },
           { "between_tokens_ms", Quantiles(mTokenIntervals) },
           { "errors", std::move(errors) } };
}

} // namespace masticstep::standins
