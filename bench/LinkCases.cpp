#include "BenchCase.hpp"
#include "masticstep/net/WorkerPool.hpp"
#include "masticstep/peering/Peering.hpp"
#include "masticstep/spread/EngineLoadValue.hpp"

#include <chrono>
#include <ctime>
#include <malloc.h>
#include <memory>
#include <thread>

namespace masticstep::bench {

namespace {

constexpr int kDaemons = 24;
constexpr int kEngines = 40;
constexpr int kMeasuredSeconds = 20;

double CpuSeconds()
{
  return static_cast<double>(std::clock()) / static_cast<double>(CLOCKS_PER_SEC);
}

double BytesSent(const std::vector<std::unique_ptr<Peering>>& aDaemons)
{
  double sum = 0.0;
  for (const std::unique_ptr<Peering>& daemon : aDaemons) {
    sum += static_cast<double>(daemon->Counters().bytesSent);
  }
  return sum;
}

// Publishes the loads of each daemon's own engines every 2 s and waits for the time to pass.
void RunFor(const std::vector<std::unique_ptr<Peering>>& aDaemons, int aSeconds)
{
  for (int second = 0; second < aSeconds; second += 2) {
    for (const std::unique_ptr<Peering>& daemon : aDaemons) {
      for (int engine = 0; engine < kEngines; ++engine) {
        const std::string name = "draft-" + std::to_string(engine);
        if (daemon->Role(name) == OwnerRole::Owner) {
          daemon->Publish({ EntryKind::EngineLoad, name }, Encode(EngineLoadValue{ 100000, 250 }));
        }
      }
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
  }
}

// Real links over loopback in one process, plain TCP: processor time with the kernel's, and memory.
std::vector<Measurement> Links24()
{
  const double before = static_cast<double>(mallinfo2().uordblks);
  net::WorkerPool pool(1);
  std::vector<std::unique_ptr<Peering>> daemons;
  for (int number = 0; number < kDaemons; ++number) {
    PeeringSettings settings;
    settings.host = HostName("host-" + std::to_string(number));
    settings.region = RegionName("region");
    settings.dataCentre = DataCentreName("dc0");
    settings.address = "127.0.0.1:0";
    settings.randomSeed = static_cast<std::uint64_t>(number) + 1;
    if (!daemons.empty()) {
      settings.seeds = { daemons.front()->Address() };
    }
    daemons.push_back(*Peering::Create(pool.Context(), settings, {}));
    daemons.back()->Start();
  }
  RunFor(daemons, 30);
  const double cpu = CpuSeconds();
  const double bytes = BytesSent(daemons);
  RunFor(daemons, kMeasuredSeconds);
  constexpr double kDaemonSeconds = static_cast<double>(kDaemons) * kMeasuredSeconds;
  double links = 0.0;
  double members = 0.0;
  for (const std::unique_ptr<Peering>& daemon : daemons) {
    links += static_cast<double>(daemon->Counters().links) / kDaemons;
    members += static_cast<double>(daemon->Members().size()) / kDaemons;
  }
  return {
    { "cpu_share", (CpuSeconds() - cpu) / kDaemonSeconds, "cores", {} },
    { "frame_bytes_per_s", (BytesSent(daemons) - bytes) / kDaemonSeconds, "B/s", {} },
    { "memory", (static_cast<double>(mallinfo2().uordblks) - before) / kDaemons, "B", {} },
    { "links", links, "links", {} },
    { "members", members, "members", {} },
  };
}

const CaseRegistration kLinks({ "links_24", Links24 });

} // namespace

} // namespace masticstep::bench
