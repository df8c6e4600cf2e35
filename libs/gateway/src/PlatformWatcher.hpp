#pragma once

#include "GatewayParts.hpp"
#include "masticstep/net/HttpClient.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace masticstep::gateway {

// Reads the configuration from the platform and follows its changes by a long-poll watch.
class PlatformWatcher : public std::enable_shared_from_this<PlatformWatcher>
{
public:
  explicit PlatformWatcher(std::shared_ptr<GatewayParts> aParts);

  // Follows until Stop.
  net::Task<void> Run();
  void Stop() { mIsStopped = true; }

private:
  using Reply = Result<net::HttpResponse, net::FetchError>;

  net::Task<Reply> Get(std::string aTarget, Duration aTimeout);
  // Reads the manifest and its contents and puts them in force. Returns false if it has to be tried
  // again.
  net::Task<bool> ReadOnce();
  net::Task<Result<std::vector<ConfigurationFile>, std::string>> ReadFiles(
    const std::string& aManifest, std::uint64_t& aGeneration);
  net::Task<Result<std::string, std::string>> ReadContent(std::string aDigest);
  // Waits for a change; returns false if the platform could not be asked.
  net::Task<bool> WaitForChange();
  void Apply(std::uint64_t aGeneration, const std::vector<ConfigurationFile>& aFiles);

  std::shared_ptr<GatewayParts> mParts;
  std::map<std::string, std::string> mContents; // by digest
  std::int64_t mRevision = 0;
  bool mIsStopped = false;
};

} // namespace masticstep::gateway
