#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/telemetry/Metrics.hpp"

#include <memory>

namespace masticstep::gateway {

// Records the token latencies of one completion, per class and per account.
class RequestMetrics
{
public:
  RequestMetrics(telemetry::Metrics& aMetrics, const ClassName& aClass, const AccountName& aAccount,
                 Time aArrived);
  ~RequestMetrics();
  RequestMetrics(const RequestMetrics&) = delete;
  RequestMetrics& operator=(const RequestMetrics&) = delete;

  void OnToken(Time aNow);
  std::uint32_t Tokens() const { return mTokens; }

private:
  struct LatencyPair
  {
    std::shared_ptr<telemetry::LatencySeries> byClass;
    std::shared_ptr<telemetry::LatencySeries> byAccount;
    void Record(Duration aDuration);
  };

  LatencyPair mFirstToken;
  LatencyPair mBetweenTokens;
  std::shared_ptr<telemetry::Counter> mAccountTokens;
  std::shared_ptr<telemetry::Gauge> mRunning;
  Time mLastEvent;
  std::uint32_t mTokens = 0;
};

} // namespace masticstep::gateway
