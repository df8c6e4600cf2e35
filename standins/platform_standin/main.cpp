#include "common/Program.hpp"
#include "platform_standin/PlatformServer.hpp"

namespace {

constexpr const char* kUsage = R"(Stand-in for the platform's object API.

Usage:
  platform_standin [options]

Options:
  --listen ADDRESS     Address to listen on [default: 127.0.0.1:0].
  --latency-ms N       Latency of each call in milliseconds [default: 2].
  --writes-per-s N     Rate limit of writes per second [default: 400].
  --reads-per-s N      Rate limit of reads per second; a watch counts as one read [default: 2000].
  --help               Print this help.
)";

} // namespace

int main(int aCount, char** aArguments)
{
  using namespace masticstep::standins;
  const Options options = Options::Parse(kUsage, aCount, aArguments);
  PlatformFaults faults;
  faults.latency = masticstep::Milliseconds(options.Integer("--latency-ms"));
  faults.writesPerSecond = options.Number("--writes-per-s");
  faults.readsPerSecond = options.Number("--reads-per-s");
  PlatformServer server(faults);
  asio::io_context context(1);
  return RunServer(context, options.AddressOf("--listen"), server);
}
