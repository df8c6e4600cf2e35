#include "common/Program.hpp"
#include "engine_standin/EngineServer.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <cstdlib>
#include <iostream>

namespace {

constexpr const char* kUsage = R"(Stand-in for a model engine.

Usage:
  engine_standin [options]

Options:
  --listen ADDRESS     Address to serve [default: 127.0.0.1:0].
  --name NAME          Name in load reports [default: engine].
  --model NAMES        Loaded models, separated by commas [default: signs-8b].
  --role ROLE          mixed, prefill or decode [default: mixed].
  --blocks N           KV memory in blocks of 32 tokens [default: 2000].
  --cache-blocks N     Bound of cached blocks not in use [default: 1000].
  --time-scale X       Seconds of model time in one second [default: 1].
  --role-change-ms N   Model time of a role change [default: 3000].
  --model-load-ms N    Model time of a model load [default: 5000].
  --load-lag-ms N      Age of load reports [default: 200].
  --seed N             Seed of the losses of cache events [default: 1].
  --ignore-fencing     Accept orders with old fencing numbers.
  --help               Print this text.
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
  if (!masticstep::standins::ReadRole(aOptions.Text("--role"), engine.role)) {
    std::cerr << "--role: allowed are mixed, prefill and decode\n";
    std::exit(2); // NOLINT(concurrency-mt-unsafe)
  }
  engine.refusesOldFencing = !aOptions.Flag("--ignore-fencing");
  engine.seed = static_cast<std::uint64_t>(aOptions.Integer("--seed"));
  engine.parameters.blocks = static_cast<std::size_t>(aOptions.Integer("--blocks"));
  engine.parameters.cacheBound = static_cast<std::size_t>(aOptions.Integer("--cache-blocks"));
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
