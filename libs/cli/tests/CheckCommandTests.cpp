#include "masticstep/cli/CheckCommand.hpp"
#include "masticstep/cli/FileCollector.hpp"
#include "masticstep/testing/Test.hpp"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace masticstep;
namespace fs = std::filesystem;

namespace {

// Creates a folder and removes it with its contents on destruction.
class TemporaryFolder
{
public:
  TemporaryFolder()
    : mPath(fs::temp_directory_path() / ("masticstep_check_" + std::to_string(getpid())))
  {
    fs::create_directories(mPath);
  }
  ~TemporaryFolder() { fs::remove_all(mPath); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  void Write(const std::string& aName, const std::string& aText) const
  {
    fs::create_directories((mPath / aName).parent_path());
    std::ofstream(mPath / aName) << aText;
  }
  std::string Path() const { return mPath.string(); }

private:
  fs::path mPath;
};

constexpr const char* kService =
  R"({"service":"ordering","kind":"plain","backend_servers":[],"calls":[]})";

} // namespace

MASTICSTEP_TEST("check accepts a valid folder and names units by service or folder", "[cli][check]")
{
  const TemporaryFolder folder;
  folder.Write("one/a.service.json", kService);
  folder.Write("dealers/b.accounts.json", R"({"accounts":[]})");
  folder.Write("one/notes.txt", "not a configuration file");
  std::ostringstream output;
  std::ostringstream errors;
  CHECK_TRUE(RunCheck({ folder.Path() }, output, errors) == ExitCode::Done);
  CHECK_EQUAL(std::string("ok: 1 services, 0 client accounts\n"), output.str());
  const Result<std::vector<PublicationUnit>, Faults> units = CollectFiles({ folder.Path() });
  CHECK_EQUAL(std::string("dealers"), units->at(0).name);
  CHECK_EQUAL(std::string("ordering"), units->at(1).name);
}

// Guards against publishing an incomplete configuration, for example after a mistyped folder name.
MASTICSTEP_TEST("check rejects missing folders, empty folders and two services in one folder",
                "[cli][check]")
{
  const TemporaryFolder folder;
  std::ostringstream output;
  std::ostringstream errors;
  CHECK_TRUE(RunCheck({ folder.Path() + "/none" }, output, errors) == ExitCode::BadInput);
  CHECK_TRUE(RunCheck({ folder.Path() }, output, errors) == ExitCode::BadInput);
  folder.Write("one/a.service.json", kService);
  folder.Write("one/b.service.json", kService);
  CHECK_TRUE(RunCheck({ folder.Path() }, output, errors) == ExitCode::BadInput);
  CHECK_TRUE(errors.str().find("cannot be read") != std::string::npos);
  CHECK_TRUE(errors.str().find("no configuration file found") != std::string::npos);
  CHECK_TRUE(errors.str().find("second service in the folder") != std::string::npos);
  CHECK_TRUE(output.str().empty());
}
