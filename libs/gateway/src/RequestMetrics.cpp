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
  , mAccountTokens(aMetrics.GetCounter({ "masticstep_tokens_total", "account", aAccount.Text() }))
  , mRunning(aMetrics.GetGauge({ "masticstep_running_requests", "class", aClass.Text() }))
  , mLastEvent(aArrived)
{
  mRunning->Add(1);
}

RequestMetrics::~RequestMetrics()
{
  mRunning->Add(-1);
  mAccountTokens->Add(mTokens);
}

void RequestMetrics::OnToken(Time aNow)
{
  LatencyPair& series = mTokens == 0 ? mFirstToken : mBetweenTokens;
  series.Record(aNow - mLastEvent);
  mLastEvent = aNow;
  ++mTokens;
}

void RequestMetrics::LatencyPair::Record(Duration aDuration)
{
  byClass->Record(aDuration);
  byAccount->Record(aDuration);
}

} // namespace masticstep::gateway
