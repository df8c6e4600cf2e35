#include "masticstep/cli/ExplainCommand.hpp"

#include "masticstep/testing/Test.hpp"

#include <sstream>

using namespace masticstep;

namespace {

const std::string kLogs =
  R"({"time":"2026-12-04T08:00:03.500Z","level":"info","event":"request finished","host":"a","request_id":"r1","status":502}
{"time":"2026-12-04T08:00:03.100Z","level":"warning","event":"attempt failed","host":"a","request_id":"r1","problem":"reset"}
{"time":"2026-12-04T08:00:03.200Z","level":"info","event":"backend changed","host":"a","backend":"i-1"}
{"time":"2026-12-04T08:00:01.000Z","level":"info","event":"configuration in force","host":"a","version":7}
{"time":"2026-12-04T08:00:02.000Z","level":"info","event":"configuration in force","host":"a","version":9}
{"time":"2026-12-04T08:00:02.500Z","level":"info","event":"configuration in force","host":"b","version":12}
{"time":"2026-12-04T08:00:03.300Z","level":"info","event":"request finished","host":"a","request_id":"r2","status":200}
not a log line
)";

struct ExplainResult
{
  ExitCode code = ExitCode::Done;
  std::string output;
  std::string errors;
};

ExplainResult Explain(const std::string& aId, Duration aAround)
{
  Command command;
  command.kind = CommandKind::Explain;
  command.requestId = aId;
  command.around = aAround;
  std::istringstream input(kLogs);
  std::ostringstream output;
  std::ostringstream errors;
  const ExitCode code = RunExplain(command, input, output, errors);
  return { code, output.str(), errors.str() };
}

} // namespace

MASTICSTEP_TEST(
  "explain prints earlier daemon state, then the request's lines in chronological order",
  "[cli][explain]")
{
  const ExplainResult result = Explain("r1", Duration::zero());
  CHECK_TRUE(result.code == ExitCode::Done);
  CHECK_EQUAL(std::string("known before:\n"
                          "2026-12-04T08:00:02.000Z  a  configuration in force  version=9\n"
                          "request r1:\n"
                          "2026-12-04T08:00:03.100Z  a  attempt failed  problem=\"reset\"\n"
                          "2026-12-04T08:00:03.500Z  a  request finished  status=502\n"),
              result.output);
  CHECK_EQUAL(std::string("1 lines are no log lines\n"), result.errors);
}

MASTICSTEP_TEST("explain prints other events of the daemon if --around is set", "[cli][explain]")
{
  const ExplainResult result = Explain("r1", Seconds(1));
  CHECK_TRUE(result.output.find("backend changed") != std::string::npos);
  CHECK_TRUE(result.output.find("r2") == std::string::npos);
  CHECK_TRUE(result.output.find("version=12") == std::string::npos);
}

// Guards against empty output, which would look like a request without errors.
MASTICSTEP_TEST("explain reports an error for a request without log lines", "[cli][explain]")
{
  const ExplainResult result = Explain("r3", Duration::zero());
  CHECK_TRUE(result.code == ExitCode::BadInput);
  CHECK_TRUE(result.output.empty());
}
