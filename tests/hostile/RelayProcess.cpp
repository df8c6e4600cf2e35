#include "RelayProcess.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace masticstep::hostile {

namespace asio = boost::asio;
using standins::Tcp;

namespace {

constexpr std::uint16_t kCallersPort = 8149;
constexpr std::uint16_t kReadinessPort = 8141;
constexpr const char* kHost = "hostile.example";
constexpr const char* kService = "plain";
constexpr Duration kStartLimit = Seconds(60);

std::unique_ptr<standins::HttpServer> Listen(asio::io_context& aContext,
                                             standins::HttpHandler& aHandler)
{
  Result<std::unique_ptr<standins::HttpServer>, std::string> server =
    standins::HttpServer::Create(aContext, { "127.0.0.1", 0 }, aHandler);
  if (!server) {
    throw std::runtime_error(server.error());
  }
  return std::move(*server);
}

boost::json::value Configuration(const MachineLimits& aLimits)
{
  const boost::json::object route{ { "name", "look" },         { "host", kHost },
                                   { "pathPrefix", "/look/" }, { "kind", "idempotent" },
                                   { "service", kService },    { "timeoutMs", 20000 },
                                   { "attempts", 2 } };
  return { { "version", 1 },
           { "routes", boost::json::array{ route } },
           { "services", boost::json::array{ boost::json::object{ { "name", kService } } } },
           { "limits",
             { { "maxHeaderBytes", 16384 },
               { "maxBodyBytes", aLimits.bodyBytes },
               { "headerTimeoutMs", 3000 },
               { "idleTimeoutMs", 15000 } } } };
}

// Sends a request on a connection of its own. Returns the status of the answer; 0 without one.
unsigned Fetch(const standins::Address& aServer, const std::string& aRequest)
{
  asio::io_context context;
  Tcp::socket socket(context);
  boost::system::error_code ec;
  socket.connect(standins::EndpointOf(aServer), ec);
  if (!ec) {
    asio::write(socket, asio::buffer(aRequest), ec);
  }
  std::string head;
  // An answer may arrive although not all of the request was taken.
  asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", ec);
  return head.size() < 12 ? 0 : static_cast<unsigned>(std::strtoul(head.c_str() + 9, nullptr, 10));
}

} // namespace

RelayProcess::RelayProcess(const MachineLimits& aLimits)
  : mFolder(std::filesystem::temp_directory_path() /
            ("masticstep-hostile-" + std::to_string(getpid())))
  , mIp("127." + std::to_string(1 + getpid() % 120) + ".88.1")
{
  std::filesystem::create_directories(mFolder);
  mShared.history = &mHistory;
  mShared.store = &mStore;
  soak::EngineOptions options;
  options.name = "plain-1";
  options.service = kService;
  options.dataCentre = "east";
  mEngine = std::make_unique<soak::Engine>(mShared, std::move(options));
  mStoreServer = Listen(mContext, mStore);
  mEngineServer = Listen(mContext, *mEngine);
  mEngine->SetAddress(mEngineServer->BoundAddress().Text());
  mStore.Put("config", "main", Configuration(aLimits));
  asio::co_spawn(mContext, mEngine->Start(), asio::detached);
  mLoop = std::thread([this] {
    const asio::executor_work_guard<asio::io_context::executor_type> work(mContext.get_executor());
    mContext.run();
  });
  WriteSettings(aLimits);
  const std::vector<std::string> arguments{ "relay", "--settings", mFolder + "/host.conf" };
  mProcess = std::make_unique<integration::Process>("masticstep", arguments, mFolder + "/host");
  const bool isReady = integration::WaitUntil(kStartLimit, [this] {
    return Fetch({ mIp, kReadinessPort },
                 "GET /masticstep/readiness HTTP/1.1\r\nHost: x\r\n\r\n") == 200;
  });
  if (!isReady) {
    throw std::runtime_error("the daemon is not ready: " + mProcess->ErrorText());
  }
}

RelayProcess::~RelayProcess()
{
  mProcess.reset();
  mContext.stop();
  mLoop.join();
  std::filesystem::remove_all(mFolder);
}

void RelayProcess::WriteSettings(const MachineLimits& aLimits) const
{
  std::ofstream(mFolder + "/host.conf")
    << "node=daemon-1\nrole=relay\nmachineClass=front\nserves=front\nip=" << mIp
    << "\nzone=east\nregion=east\nzones.east=east\nlisten.front=" << mIp << ":" << kCallersPort
    << "\nlisten.ready=" << mIp << ":" << kReadinessPort << "\ninternalPorts=7380,7395"
    << "\nplatform.address=" << mStoreServer->BoundAddress().Text()
    << "\nbootstrap=true\nbounds.retrySlack=50\nlimits.memoryMb=" << aLimits.memoryMegabytes
    << "\nlimits.fileDescriptors=" << aLimits.fileDescriptors << "\n";
}

standins::Address RelayProcess::Callers() const
{
  return { mIp, kCallersPort };
}

std::size_t RelayProcess::PeakBytes() const
{
  constexpr std::size_t kKilobyte = 1024;
  std::ifstream file("/proc/" + std::to_string(mProcess->Id()) + "/status");
  std::string word;
  while (file >> word) {
    std::size_t kilobytes = 0;
    if (word == "VmHWM:" && file >> kilobytes) {
      return kilobytes * kKilobyte;
    }
  }
  return 0;
}

void RelayProcess::AwaitQuiet() const
{
  constexpr int kQuietPolls = 100;
  std::size_t peak = 0;
  for (int quiet = 0; quiet < kQuietPolls; ++quiet) {
    const std::size_t now = PeakBytes();
    quiet = now > peak ? 0 : quiet;
    peak = now;
    integration::PollPause();
  }
}

std::size_t RelayProcess::OpenDescriptors() const
{
  const std::filesystem::directory_iterator entries("/proc/" + std::to_string(mProcess->Id()) +
                                                    "/fd");
  return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

unsigned RelayProcess::StatusOfRequest(std::size_t aBodyBytes)
{
  std::ostringstream request;
  request << (aBodyBytes == 0 ? "GET" : "POST") << " /look/1 HTTP/1.1\r\nHost: " << kHost
          << "\r\nMasticstep-Request-Attempt-Id: ordinary-" << ++mCalls
          << "\r\nMasticstep-Deadline-Milliseconds: 20000\r\nConnection: close\r\n";
  if (aBodyBytes > 0) {
    request << "Content-Length: " << aBodyBytes << "\r\n";
  }
  request << "\r\n" << std::string(aBodyBytes, 'b');
  return Fetch(Callers(), request.str());
}

bool RelayProcess::AnswersOrdinaryRequest(Duration aLimit, std::size_t aBodyBytes)
{
  return integration::WaitUntil(aLimit, [&] { return StatusOfRequest(aBodyBytes) == 200; });
}

} // namespace masticstep::hostile
