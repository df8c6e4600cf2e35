#include "common/Program.hpp"
#include "common/Signal.hpp"
#include "common/TokenBucket.hpp"
#include "load_tool/LoadMix.hpp"
#include "load_tool/LoadReport.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <cstdlib>
#include <iostream>

namespace {

using namespace masticstep::standins;

constexpr const char* kUsage =
  R"(Sends completions at a rate that does not depend on the answers and prints one JSON report.

Usage:
  load_tool --targets URLS [options]

Options:
  --targets URLS        Daemons or engines, separated by commas; used in turn.
  --key KEY             Bearer key of the caller [default: ].
  --model MODEL         Model [default: signs-8b].
  --class NAME          Class of the requests [default: ].
  --rate N              Requests a second [default: 10].
  --seconds N           Length of the load [default: 10].
  --seed N              Seed of arrivals and lengths [default: 1].
  --prompt-tokens N     Mean length of prompts [default: 200].
  --output-tokens N     Mean length of answers [default: 50].
  --swing X             Factor between the two halves of a swing [default: 1].
  --swing-s N           Period of the swing in seconds [default: 60].
  --first-token-ms N    Target for the first token [default: 1100].
  --between-ms N        Target between tokens [default: 67].
  --help                Print this text.

Ends with code 1 if a request neither got its whole answer nor was refused before it ran.
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

LoadMix ReadMix(const Options& aOptions)
{
  LoadMix mix;
  mix.seed = static_cast<std::uint64_t>(aOptions.Integer("--seed"));
  mix.ratePerSecond = aOptions.Number("--rate");
  mix.promptTokens = aOptions.Number("--prompt-tokens");
  mix.outputTokens = aOptions.Number("--output-tokens");
  mix.swing = aOptions.Number("--swing");
  mix.swingPeriod = masticstep::FromSeconds(aOptions.Number("--swing-s"));
  return mix;
}

Awaitable<void> RunOne(CompletionCall aCall, LoadReport& aReport)
{
  const TokenObserver observer;
  const CompletionResult result = co_await StreamCompletion(aCall, observer);
  aReport.Add(aCall, result);
}

Awaitable<void> RunLoad(asio::io_context& aContext, const Options& aOptions, LoadReport& aReport)
{
  const std::vector<Address> targets = ReadTargets(aOptions.Text("--targets"));
  const masticstep::Duration span = masticstep::FromSeconds(aOptions.Number("--seconds"));
  LoadPlan plan(ReadMix(aOptions));
  const masticstep::Time start = Now();
  std::size_t count = 0;
  PlannedRequest next = plan.Next();
  while (next.at < span) {
    co_await Pause(start + next.at - Now());
    CompletionCall call;
    call.server = targets[count++ % targets.size()];
    call.key = aOptions.Text("--key");
    call.className = aOptions.Text("--class");
    call.model = aOptions.Text("--model");
    call.prompt = std::move(next.prompt);
    call.maxTokens = next.maxTokens;
    asio::co_spawn(aContext, RunOne(std::move(call), aReport), asio::detached);
    next = plan.Next();
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
