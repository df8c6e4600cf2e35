#include "masticstep/telemetry/Metrics.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::telemetry;

// Guards against memory that grows with the number of accounts.
MASTICSTEP_TEST("label values beyond the bound share one series", "[telemetry][bounds]")
{
  Metrics metrics(2);
  for (int i = 0; i < 10; ++i) {
    metrics.GetCounter({ "requests", "account", std::to_string(i) })->Add();
  }
  CHECK_EQUAL(1U, metrics.GetCounter({ "requests", "account", "0" })->Value());
  CHECK_EQUAL(8U, metrics.GetCounter({ "requests", "account", "other" })->Value());
  CHECK_TRUE(metrics.PrometheusText().find("account=\"7\"") == std::string::npos);
}

// Guards against buckets that are not cumulative or that lose durations outside the range.
MASTICSTEP_TEST("histogram text counts every duration once", "[telemetry]")
{
  Metrics metrics;
  const std::shared_ptr<LatencySeries> series =
    metrics.GetLatency({ "wait_seconds", "class", "c" });
  series->Record(Microseconds(10));
  series->Record(Milliseconds(50));
  series->Record(Seconds(3600));
  const std::string text = metrics.PrometheusText();
  CHECK_TRUE(text.find("wait_seconds_bucket{class=\"c\",le=\"60\"} 2\n") != std::string::npos);
  CHECK_TRUE(text.find("wait_seconds_bucket{class=\"c\",le=\"+Inf\"} 3\n") != std::string::npos);
  CHECK_TRUE(text.find("wait_seconds_count{class=\"c\"} 3\n") != std::string::npos);
}

// Guards against reading a quantile from the wrong side of a bin.
MASTICSTEP_TEST("a quantile is an upper bound within one bin", "[telemetry]")
{
  Metrics metrics;
  const std::shared_ptr<LatencySeries> series = metrics.GetLatency({ "wait_seconds", "", "" });
  CHECK_TRUE(series->Quantile(0.95) == Duration::zero());
  for (int i = 1; i <= 100; ++i) {
    series->Record(Milliseconds(i));
  }
  CHECK_TRUE(series->Quantile(0.95) >= Milliseconds(95));
  CHECK_TRUE(series->Quantile(0.95) <= Milliseconds(95 * 142 / 100));
}

// Guards against a label value that ends its quotes.
MASTICSTEP_TEST("label values are escaped", "[telemetry]")
{
  Metrics metrics;
  metrics.GetGauge({ "n", "name", "a\"b" })->Set(-4);
  CHECK_TRUE(metrics.PrometheusText().find("n{name=\"a\\\"b\"} -4\n") != std::string::npos);
}
