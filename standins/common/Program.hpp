#pragma once

#include "common/HttpServer.hpp"

#include <docopt/docopt.h>

#include <map>
#include <string>
#include <vector>

namespace masticstep::standins {

// Command line of a stand-in, read by docopt.
class Options
{
public:
  // Exits with code 2 after a usage error and 0 after --help, as docopt does.
  static Options Parse(const std::string& aUsage, int aCount, char** aArguments);

  std::string Text(const std::string& aName) const;
  double Number(const std::string& aName) const;
  std::int64_t Integer(const std::string& aName) const;
  bool Flag(const std::string& aName) const;
  // Exits with code 2 if the option is not an address.
  Address AddressOf(const std::string& aName) const;

private:
  std::map<std::string, docopt::value> mValues;
};

// Serves until the process is ended. Prints {"address": ...} once the server accepts connections.
// Returns the exit code.
int RunServer(asio::io_context& aContext, const Address& aListen, HttpHandler& aHandler);

} // namespace masticstep::standins
