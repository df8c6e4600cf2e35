#include "common/Program.hpp"
#include "engine_standin/EngineServer.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <cstdlib>
#include <iostream>

namespace {

constexpr const char* kUsage = R"(Stand-in for an inference engine.

Usage:
  engine_standin [options]

Options:
  --listen ADDRESS     Address to listen on [default: 127.0.0.1:0].
  --name NAME          Engine name in load reports [default: engine].
  --model NAMES        Comma-separated names of the loaded models [default: signs-8b].
  --role ROLE          mixed, prefill or decode [default: mixed].
  --blocks N           KV cache size in blocks of 32 tokens [default: 2000].
  --cache-blocks N     Maximum number of unpinned cached blocks [default: 1000].
  --time-scale X       Simulated seconds per second of real time [default: 1].
  --role-change-ms N   Simulated duration of a role change in milliseconds [default: 3000].
  --model-load-ms N    Simulated duration of a model load in milliseconds [default: 5000].
  --load-lag-ms N      Minimum age of load reports in milliseconds [default: 200].
  --seed N             Random seed for lost cache events [default: 1].
  --ignore-fencing     Accept orders with outdated fencing numbers.
  --help               Print this help.
)";

std::vector<std::string> SplitNames(const std::string& aText)
{
  std::vector<std::string> names;
  std::size_t start = 0;
  while (start <= aText.size()) {
    const std::size_t end = std::min(aText.find(',', start), aText.size());
    names.push_back(aText.substr(start, end - start));
    start = end + 1;
  }
  return names;
}

masticstep::standins::EngineOptions ReadOptions(const masticstep::standins::Options& aOptions)
{
  masticstep::standins::EngineOptions engine;
  engine.name = aOptions.Text("--name");
  engine.models = SplitNames(aOptions.Text("--model"));
  if (!masticstep::standins::ParseRole(aOptions.Text("--role"), engine.role)) {
    std::cerr << "--role: must be mixed, prefill or decode\n";
    std::exit(2); // NOLINT(concurrency-mt-unsafe)
  }
  engine.refusesOldFencing = !aOptions.Flag("--ignore-fencing");
  engine.seed = static_cast<std::uint64_t>(aOptions.Integer("--seed"));
  engine.parameters.blocks = static_cast<std::size_t>(aOptions.Integer("--blocks"));
  engine.parameters.cachedBlockLimit = static_cast<std::size_t>(aOptions.Integer("--cache-blocks"));
  engine.parameters.timeScale = aOptions.Number("--time-scale");
  engine.parameters.roleChange = masticstep::Milliseconds(aOptions.Integer("--role-change-ms"));
  engine.parameters.modelLoad = masticstep::Milliseconds(aOptions.Integer("--model-load-ms"));
  engine.faults.loadLag = masticstep::Milliseconds(aOptions.Integer("--load-lag-ms"));
  return engine;
}

} // namespace

int main(int aCount, char** aArguments)
{
  using namespace masticstep::standins;
  const Options options = Options::Parse(kUsage, aCount, aArguments);
  EngineServer server(ReadOptions(options));
  asio::io_context context(1);
  asio::co_spawn(context, server.RunSteps(), asio::detached);
  asio::co_spawn(context, server.RunReports(), asio::detached);
  return RunServer(context, options.AddressOf("--listen"), server);
}
