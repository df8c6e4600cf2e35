#include "RequestMetrics.hpp"

namespace masticstep::gateway {

RequestMetrics::RequestMetrics(telemetry::Metrics& aMetrics, const ClassName& aClass,
                               const AccountName& aAccount, Time aArrived)
  : mFirstToken{ aMetrics.GetLatency(
                   { "masticstep_first_token_seconds_by_class", "class", aClass.Text() }),
                 aMetrics.GetLatency(
                   { "masticstep_first_token_seconds_by_account", "account", aAccount.Text() }) }
  , mBetweenTokens{ aMetrics.GetLatency(
                      { "masticstep_between_tokens_seconds_by_class", "class", aClass.Text() }),
                    aMetrics.GetLatency({ "masticstep_between_tokens_seconds_by_account", "account",
                                          aAccount.Text() }) }
  , mTokensOfAccount(aMetrics.GetCounter({ "masticstep_tokens_total", "account", aAccount.Text() }))
  , mRunning(aMetrics.GetGauge({ "masticstep_running_requests", "class", aClass.Text() }))
  , mLast(aArrived)
{
  mRunning->Add(1);
}

RequestMetrics::~RequestMetrics()
{
  mRunning->Add(-1);
  mTokensOfAccount->Add(mTokens);
}

void RequestMetrics::OnToken(Time aNow)
{
  Pair& pair = mTokens == 0 ? mFirstToken : mBetweenTokens;
  pair.Record(aNow - mLast);
  mLast = aNow;
  ++mTokens;
}

void RequestMetrics::Pair::Record(Duration aDuration)
{
  byClass->Record(aDuration);
  byAccount->Record(aDuration);
}

} // namespace masticstep::gateway
