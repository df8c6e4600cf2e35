#include "masticstep/telemetry/Log.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep::telemetry;

// Guards against lines that a JSON parser would refuse or split.
MASTICSTEP_TEST("a log line is one JSON object with typed fields", "[telemetry][log]")
{
  const std::string line =
    FormatLine("2026-01-01T00:00:00.000Z", Level::Warning, "engine \"silent\"\n", "regina-1",
               { { "engine", "draft-1" }, { "tokens", 3 }, { "share", 0.5 }, { "resumed", true } });
  CHECK_EQUAL(std::string("{\"time\":\"2026-01-01T00:00:00.000Z\",\"level\":\"warning\","
                          "\"event\":\"engine \\\"silent\\\"\\n\",\"host\":\"regina-1\","
                          "\"engine\":\"draft-1\",\"tokens\":3,\"share\":5E-1,\"resumed\":true}"),
              line);
}
