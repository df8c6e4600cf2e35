#include "common/Program.hpp"

#include <cstdlib>
#include <iostream>

namespace masticstep::standins {

namespace {

constexpr int kUsageError = 2;

[[noreturn]] void ExitWithUsageError(const std::string& aMessage)
{
  std::cerr << aMessage << "\n";
  std::exit(kUsageError); // NOLINT(concurrency-mt-unsafe)
}

} // namespace

Options Options::Parse(const std::string& aUsage, int aCount, char** aArguments)
{
  Options options;
  const std::vector<std::string> arguments(aArguments + 1, aArguments + aCount);
  try {
    options.mValues = docopt::docopt_parse(aUsage, arguments, true, false);
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << aUsage << "\n";
    std::exit(EXIT_SUCCESS); // NOLINT(concurrency-mt-unsafe)
  } catch (const std::exception& error) {
    ExitWithUsageError(std::string(error.what()) + "\n" + aUsage);
  }
  return options;
}

std::string Options::Text(const std::string& aName) const
{
  const docopt::value& value = mValues.at(aName);
  return value.isString() ? value.asString() : std::string();
}

double Options::Number(const std::string& aName) const
{
  const std::string text = Text(aName);
  char* end = nullptr;
  const double n = std::strtod(text.c_str(), &end);
  if (text.empty() || *end != '\0') {
    ExitWithUsageError(aName + ": '" + text + "' is not a number");
  }
  return n;
}

std::int64_t Options::Integer(const std::string& aName) const
{
  return static_cast<std::int64_t>(Number(aName));
}

bool Options::Flag(const std::string& aName) const
{
  const docopt::value& value = mValues.at(aName);
  return value.isBool() && value.asBool();
}

Address Options::AddressOf(const std::string& aName) const
{
  const Result<Address, std::string> address = ParseAddress(Text(aName));
  if (!address) {
    ExitWithUsageError(aName + ": " + address.error());
  }
  return *address;
}

int RunServer(asio::io_context& aContext, const Address& aListen, HttpHandler& aHandler)
{
  const Result<std::unique_ptr<HttpServer>, std::string> server =
    HttpServer::Create(aContext, aListen, aHandler);
  if (!server) {
    std::cerr << server.error() << "\n";
    return EXIT_FAILURE;
  }
  std::cout << "{\"address\": \"" << (*server)->BoundAddress().Text() << "\"}" << std::endl;
  aContext.run();
  return EXIT_SUCCESS;
}

} // namespace masticstep::standins
