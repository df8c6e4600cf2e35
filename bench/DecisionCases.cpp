#include "AllocationCounter.hpp"
#include "BenchCase.hpp"
#include "masticstep/admission/AdmissionQueue.hpp"
#include "masticstep/base/Random.hpp"
#include "masticstep/routing/Router.hpp"

#include <algorithm>
#include <chrono>
#include <string>

namespace masticstep::bench {

namespace {

using namespace routing;

constexpr std::uint64_t kDecisions = 20000;
constexpr std::uint32_t kAccountNames = 4800; // design section 1.5
constexpr std::size_t kPrefixPieces = 8;
// Requests that each daemon has in flight at the peak: 4,900 requests/s for 9 s over 370 daemons.
constexpr std::size_t kInFlight = 128;

Router MakeRouter(std::uint32_t aEngines)
{
  RouterOptions options;
  options.dataCentre = DataCentreName("zone-0");
  options.region = RegionName("zone-0");
  options.classes.push_back({ ServiceName("drafting"), ClassName("draft") });
  options.shedFactor = 0.0;
  Router router = Router::Create(std::move(options)).value();
  for (std::uint32_t i = 0; i < aEngines; ++i) {
    const std::string zone = "zone-" + std::to_string(i % 3);
    router.SetEngine({ EngineId("engine-" + std::to_string(i)), ServiceName("drafting"),
                       DataCentreName(zone), RegionName(zone), 2000,
                       i % 3 == 0 ? EngineRole::Prefill : EngineRole::Decode });
  }
  return router;
}

RouteRequest MakeRequest(std::uint64_t aId, Random& aRandom)
{
  RouteRequest request;
  request.id = RequestId{ aId };
  request.service = ServiceName("drafting");
  request.className = ClassName("draft");
  request.account = AccountName("account-" + std::to_string(aRandom.Below(kAccountNames)));
  request.promptTokens = 400;
  request.maxTokens = 600;
  request.deadline = Time{ Seconds(100000) };
  for (std::size_t i = 0; i < kPrefixPieces; ++i) {
    request.prefixHashes.push_back(i < 2 ? aRandom.Below(400) * 10 + i : aRandom.Next());
  }
  return request;
}

std::vector<RouteRequest> MakeRequests()
{
  Random random(11);
  std::vector<RouteRequest> requests;
  for (std::uint64_t i = 0; i < kDecisions; ++i) {
    requests.push_back(MakeRequest(i, random));
  }
  return requests;
}

void Finish(Router& aRouter, std::uint64_t aId, Time aNow)
{
  aRouter.OnTokens(RequestId{ aId }, 1, aNow);
  aRouter.OnTokens(RequestId{ aId }, 300, aNow);
  aRouter.OnFinished(RequestId{ aId }, aNow);
}

std::vector<Measurement> Decide(std::uint32_t aEngines)
{
  const std::size_t before = AllocatedBytes();
  Router router = MakeRouter(aEngines);
  const std::size_t idle = AllocatedBytes();
  const std::vector<RouteRequest> requests = MakeRequests();
  std::vector<double> spans;
  std::size_t allocations = 0;
  for (std::uint64_t i = 0; i < kDecisions; ++i) {
    const Time now{ Milliseconds(static_cast<std::int64_t>(i)) };
    const std::size_t allocated = Allocations();
    // The time of a decision is the one figure here that is not the same in every run.
    const auto start = std::chrono::steady_clock::now();
    const bool isChosen = router.Choose(requests[i], now).has_value();
    const auto end = std::chrono::steady_clock::now();
    allocations += Allocations() - allocated;
    spans.push_back(std::chrono::duration<double, std::nano>(end - start).count());
    if (isChosen && i >= kInFlight) {
      Finish(router, i - kInFlight, now);
    }
  }
  std::sort(spans.begin(), spans.end());
  Router empty = MakeRouter(aEngines);
  const std::vector<RouteRequest> burst(requests.begin(), requests.begin() + 1000);
  const std::size_t beforeBurst = AllocatedBytes();
  for (const RouteRequest& request : burst) {
    static_cast<void>(empty.Choose(request, Time{}));
  }
  const double perRequest = static_cast<double>(AllocatedBytes() - beforeBurst) / 1000.0;
  const double perEngine = static_cast<double>(idle - before) / aEngines;
  return { { "decision_median", spans[spans.size() / 2], "ns", {} },
           { "decision_99_in_100", spans[spans.size() * 99 / 100], "ns", {} },
           { "allocations", static_cast<double>(allocations) / kDecisions, "allocations", {} },
           { "bytes_per_engine", perEngine, "bytes", {} },
           { "bytes_per_request", perRequest, "bytes", {} } };
}

// Output histories and account limits of as many accounts as the target has.
std::vector<Measurement> AccountBytes()
{
  Router router = MakeRouter(1);
  const std::size_t before = AllocatedBytes();
  Random random(5);
  for (std::uint32_t i = 0; i < kAccountNames; ++i) {
    RouteRequest request = MakeRequest(i, random);
    request.prefixHashes.clear();
    request.account = AccountName("account-" + std::to_string(i));
    static_cast<void>(router.Choose(request, Time{}));
    Finish(router, i, Time{ Milliseconds(1) });
  }
  const std::size_t histories = AllocatedBytes();
  admission::AdmissionOptions options;
  for (std::uint32_t i = 0; i < kAccountNames; ++i) {
    options.accounts.push_back(
      { AccountName("account-" + std::to_string(i)), 1.0, 2000.0, 20000.0 });
  }
  const std::size_t beforeQueue = AllocatedBytes();
  const admission::AdmissionQueue queue(std::move(options));
  const std::size_t limits = AllocatedBytes() - beforeQueue;
  return {
    { "bytes_per_account_history",
      static_cast<double>(histories - before) / kAccountNames,
      "bytes",
      {} },
    { "bytes_per_account_limit", static_cast<double>(limits) / kAccountNames, "bytes", {} }
  };
}

std::vector<Measurement> DecideTarget()
{
  std::vector<Measurement> measurements = Decide(600);
  const std::vector<Measurement> accounts = AccountBytes();
  measurements.insert(measurements.end(), accounts.begin(), accounts.end());
  return measurements;
}

const CaseRegistration kDecision18({ "decision_18", [] { return Decide(18); } });
const CaseRegistration kDecision120({ "decision_120", [] { return Decide(120); } });
const CaseRegistration kDecision600({ "decision_600", DecideTarget });

} // namespace

} // namespace masticstep::bench
