#pragma once

#include "common/HttpServer.hpp"

#include <docopt/docopt.h>

#include <map>
#include <string>
#include <vector>

namespace masticstep::standins {

// Command line options of a stand-in program, parsed by docopt.
class Options
{
public:
  // Exits with code 2 on a usage error and with code 0 after --help.
  static Options Parse(const std::string& aUsage, int aCount, char** aArguments);

  std::string Text(const std::string& aName) const;
  double Number(const std::string& aName) const;
  std::int64_t Integer(const std::string& aName) const;
  bool Flag(const std::string& aName) const;
  // Exits with code 2 if the value is not a valid address.
  Address AddressOf(const std::string& aName) const;

private:
  std::map<std::string, docopt::value> mValues;
};

// Runs the server until the process is terminated. Prints {"address": ...} on standard output once
// the server accepts connections. Returns the exit code of the program.
int RunServer(asio::io_context& aContext, const Address& aListen, HttpHandler& aHandler);

} // namespace masticstep::standins
