#include "common/Program.hpp"
#include "service_standin/OrderServer.hpp"

namespace {

constexpr const char* kUsage = R"(Stand-in for a plain ordering service.

Usage:
  service_standin [options]

Options:
  --listen ADDRESS     Address to listen on [default: 127.0.0.1:0].
  --help               Print this help.
)";

} // namespace

int main(int aCount, char** aArguments)
{
  using namespace masticstep::standins;
  const Options options = Options::Parse(kUsage, aCount, aArguments);
  OrderServer server;
  asio::io_context context(1);
  return RunServer(context, options.AddressOf("--listen"), server);
}
