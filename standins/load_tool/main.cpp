#include "common/Program.hpp"
#include "common/Signal.hpp"
#include "common/TokenBucket.hpp"
#include "load_tool/LoadGenerator.hpp"
#include "load_tool/LoadReport.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <cstdlib>
#include <iostream>

namespace {

using namespace masticstep::standins;

constexpr const char* kUsage =
  R"(Open-loop load generator: sends completions at a fixed mean rate and prints a JSON report.

Usage:
  load_tool --targets URLS [options]

Options:
  --targets URLS        Comma-separated addresses of daemons or engines; used round-robin.
  --key KEY             Bearer token [default: ].
  --model MODEL         Model name [default: signs-8b].
  --class NAME          Request class [default: ].
  --rate N              Mean requests per second [default: 10].
  --seconds N           Duration of the load in seconds [default: 10].
  --seed N              Random seed of arrivals, lengths and prompts [default: 1].
  --prompt-tokens N     Mean prompt length in tokens, without the shared prefix [default: 200].
  --output-tokens N     Mean completion length in tokens [default: 50].
  --swing X             Factor by which mean lengths alternate; 1 is off [default: 1].
  --swing-s N           Period of the alternation in seconds [default: 60].
  --first-token-ms N    Target time to first token in milliseconds [default: 1100].
  --between-ms N        Target time between tokens in milliseconds [default: 67].
  --help                Print this help.

Exits with code 1 if a request neither completed nor was rejected with status 429, 503 or 504.
)";

std::vector<Address> ReadTargets(const std::string& aText)
{
  std::vector<Address> targets;
  std::size_t start = 0;
  while (start < aText.size()) {
    const std::size_t end = std::min(aText.find(',', start), aText.size());
    const masticstep::Result<Address, std::string> address =
      ParseAddress(aText.substr(start, end - start));
    if (!address) {
      std::cerr << "--targets: " << address.error() << "\n";
      std::exit(2); // NOLINT(concurrency-mt-unsafe)
    }
    targets.push_back(*address);
    start = end + 1;
  }
  return targets;
}

LoadProfile ReadProfile(const Options& aOptions)
{
  LoadProfile profile;
  profile.seed = static_cast<std::uint64_t>(aOptions.Integer("--seed"));
  profile.ratePerSecond = aOptions.Number("--rate");
  profile.promptTokens = aOptions.Number("--prompt-tokens");
  profile.outputTokens = aOptions.Number("--output-tokens");
  profile.swing = aOptions.Number("--swing");
  profile.swingPeriod = masticstep::FromSeconds(aOptions.Number("--swing-s"));
  return profile;
}

Awaitable<void> RunRequest(CompletionCall aCall, LoadReport& aReport)
{
  const TokenObserver observer;
  const CompletionResult result = co_await StreamCompletion(aCall, observer);
  aReport.Add(aCall, result);
}

Awaitable<void> RunLoad(asio::io_context& aContext, const Options& aOptions, LoadReport& aReport)
{
  const std::vector<Address> targets = ReadTargets(aOptions.Text("--targets"));
  const masticstep::Duration span = masticstep::FromSeconds(aOptions.Number("--seconds"));
  LoadGenerator generator(ReadProfile(aOptions));
  const masticstep::Time start = Now();
  std::size_t count = 0;
  GeneratedRequest next = generator.Next();
  while (next.at < span) {
    co_await Pause(start + next.at - Now());
    CompletionCall call;
    call.server = targets[count++ % targets.size()];
    call.key = aOptions.Text("--key");
    call.className = aOptions.Text("--class");
    call.model = aOptions.Text("--model");
    call.prompt = std::move(next.prompt);
    call.maxTokens = next.maxTokens;
    asio::co_spawn(aContext, RunRequest(std::move(call), aReport), asio::detached);
    next = generator.Next();
  }
}

} // namespace

int main(int aCount, char** aArguments)
{
  const Options options = Options::Parse(kUsage, aCount, aArguments);
  LoadTargets targets;
  targets.firstToken = masticstep::Milliseconds(options.Integer("--first-token-ms"));
  targets.betweenTokens = masticstep::Milliseconds(options.Integer("--between-ms"));
  LoadReport report(targets);
  asio::io_context context(1);
  asio::co_spawn(context, RunLoad(context, options, report), asio::detached);
  context.run();
  const masticstep::Duration span = masticstep::FromSeconds(options.Number("--seconds"));
  std::cout << boost::json::serialize(report.ToJson(span)) << std::endl;
  return report.Failed() == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
