#include "load_tool/LoadReport.hpp"

#include <algorithm>

namespace masticstep::standins {

namespace {

constexpr std::size_t kErrorsShown = 5;
constexpr double kShareInTarget = 0.95;

// Returns the quantile of the values in milliseconds; 0 without values.
double QuantileMs(std::vector<Duration> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  const std::size_t last = aValues.size() - 1;
  const std::size_t n = std::min(last, static_cast<std::size_t>(aShare * aValues.size()));
  std::nth_element(aValues.begin(), aValues.begin() + static_cast<std::ptrdiff_t>(n),
                   aValues.end());
  return ToSeconds(aValues[n]) * 1000.0;
}

boost::json::value Quantiles(const std::vector<Duration>& aValues)
{
  return { { "p50", QuantileMs(aValues, 0.50) },
           { "p95", QuantileMs(aValues, kShareInTarget) },
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
    mFirst.push_back(aResult.firstToken - aResult.sent);
  }
  mGaps.insert(mGaps.end(), aResult.gaps.begin(), aResult.gaps.end());
  if (aResult.IsWholeAnswerTo(aCall)) {
    ++mWhole;
    mGood += IsGood(aResult) ? 1 : 0;
    return;
  }
  mWrongText += aResult.isComplete ? 1 : 0;
  const bool isRefusal = aResult.status == 429 || aResult.status == 503 || aResult.status == 504;
  (isRefusal ? mRefused : mFailed) += 1;
  if (mErrors.size() < kErrorsShown) {
    mErrors.push_back(std::to_string(aResult.status) + " " + aResult.error);
  }
}

bool LoadReport::IsGood(const CompletionResult& aResult) const
{
  const double limitMs = ToSeconds(mTargets.betweenTokens) * 1000.0;
  return aResult.firstToken - aResult.sent <= mTargets.firstToken &&
         QuantileMs(aResult.gaps, kShareInTarget) <= limitMs;
}

boost::json::value LoadReport::ToJson(Duration aSpan) const
{
  boost::json::array errors;
  for (const std::string& error : mErrors) {
    errors.emplace_back(error);
  }
  const double seconds = ToSeconds(aSpan);
  return { { "sent", mSent },
           { "whole", mWhole },
           { "refused", mRefused },
           { "failed", mFailed },
           { "wrong_text", mWrongText },
           { "goodput_per_s", static_cast<double>(mGood) / seconds },
           { "tokens_per_s", static_cast<double>(mTokens) / seconds },
           { "first_token_ms", Quantiles(mFirst) },
           { "between_tokens_ms", Quantiles(mGaps) },
           { "errors", std::move(errors) } };
}

} // namespace masticstep::standins
