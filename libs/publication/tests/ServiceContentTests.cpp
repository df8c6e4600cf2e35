#include "masticstep/publication/ServiceContent.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::publication;

// Guards against parsing a corrupted content object as an empty file.
MASTICSTEP_TEST("a content object without the text of a file is rejected", "[publication]")
{
  CHECK_TRUE(!ParseContent(R"({"files":[{"name":"a.service.json"}]})"));
  const std::vector<ConfigurationFile> files{ { "a.service.json", "{}" } };
  CHECK_TRUE(ParseContent(EncodeContent(files)) == files);
}
