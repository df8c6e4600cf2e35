#include "common/Program.hpp"
#include "fault_proxy/ProxyServer.hpp"

#include <cstdlib>
#include <iostream>

namespace {

constexpr const char* kUsage =
  R"(TCP proxy that injects faults: delays, resets, stalls and black holes.

Usage:
  fault_proxy --target ADDRESS [options]

Options:
  --listen ADDRESS     Address to listen on [default: 127.0.0.1:0].
  --control ADDRESS    Address of the control API [default: 127.0.0.1:0].
  --target ADDRESS     Address to forward connections to.
  --help               Print this help.

Control API:
  POST /standin/faults {"delay_ms": n, "refuse": bool, "cut": true, "black_hole_open": true,
                        "silence": "none" | "to_target" | "to_client" | "both"}
  GET /standin/counters
)";

} // namespace

int main(int aCount, char** aArguments)
{
  using namespace masticstep::standins;
  using masticstep::Result;
  const Options options = Options::Parse(kUsage, aCount, aArguments);
  asio::io_context context(1);
  const Result<std::unique_ptr<ProxyServer>, std::string> proxy =
    ProxyServer::Create(context, options.AddressOf("--listen"), options.AddressOf("--target"));
  if (!proxy) {
    std::cerr << proxy.error() << "\n";
    return EXIT_FAILURE;
  }
  const Result<std::unique_ptr<HttpServer>, std::string> control =
    HttpServer::Create(context, options.AddressOf("--control"), **proxy);
  if (!control) {
    std::cerr << control.error() << "\n";
    return EXIT_FAILURE;
  }
  std::cout << "{\"address\": \"" << (*proxy)->BoundAddress().Text() << "\", \"control\": \""
            << (*control)->BoundAddress().Text() << "\"}" << std::endl;
  context.run();
  return EXIT_SUCCESS;
}
