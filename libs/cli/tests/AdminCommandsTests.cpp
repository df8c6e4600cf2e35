#include "masticstep/cli/AdminCommands.hpp"
#include "masticstep/testing/Test.hpp"

#include <sstream>

using namespace masticstep;

MASTICSTEP_TEST("status prints one line for the daemon and each member and engine", "[cli][status]")
{
  std::ostringstream output;
  CHECK_TRUE(
    PrintStatus(R"({"host":"h1","region":"r","data_centre":"d","state":"serving","generation":3,
    "members":[{"host":"h1"},{"host":"h2","state":"suspect"}],
    "engines":[{"name":"e1","state":"ready","in_flight":2}],"running_requests":4})",
                output));
  CHECK_EQUAL(std::string("host h1 in r/d: serving, generation 3, 4 requests running\n"
                          "member h1\nmember h2: suspect\nengine e1: ready, in_flight 2\n"),
              output.str());
}

// Guards against a crash when a program other than the daemon answers at the admin address.
MASTICSTEP_TEST("a response that is not a JSON object is rejected", "[cli][status]")
{
  std::ostringstream output;
  CHECK_FALSE(PrintStatus("<html>", output));
  CHECK_FALSE(PrintStatus("[]", output));
  CHECK_TRUE(PrintStatus("{}", output));
  CHECK_TRUE(PrintStatus(R"({"members":7,"engines":[1]})", output));
}

// Guards against status and drain reporting success when no daemon is listening.
MASTICSTEP_TEST("a daemon that cannot be reached is reported as unavailable", "[cli][status]")
{
  Command command;
  command.adminAddress = { "127.0.0.1", 1 }; // port 1 is not in use on the test machines
  std::ostringstream output;
  std::ostringstream errors;
  CHECK_TRUE(RunStatus(command, output, errors) == ExitCode::Unavailable);
  CHECK_TRUE(RunDrain(command, output, errors) == ExitCode::Unavailable);
  CHECK_TRUE(errors.str().find("127.0.0.1:1") != std::string::npos);
}
