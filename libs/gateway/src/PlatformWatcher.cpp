#include "PlatformWatcher.hpp"

#include "masticstep/base/Hash.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/Sleep.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <boost/json.hpp>

#include <utility>

namespace masticstep::gateway {

using telemetry::Level;

namespace {

constexpr Duration kReadTimeout = Seconds(2);
constexpr Duration kWatchTimeout = Seconds(20);
constexpr Duration kPauseAfterFailure = Milliseconds(500);

const boost::json::object* ObjectIn(const boost::json::value& aValue)
{
  return aValue.if_object();
}

// Appends the files of one content object. Returns false if it has another form.
bool AppendFiles(std::string_view aText, std::vector<ConfigurationFile>& aFiles)
{
  boost::system::error_code ec;
  const boost::json::value content = boost::json::parse(aText, ec);
  const boost::json::object* object = ObjectIn(content);
  const boost::json::value* files = object == nullptr ? nullptr : object->if_contains("files");
  if (files == nullptr || !files->is_array()) {
    return false;
  }
  for (const boost::json::value& item : files->get_array()) {
    const boost::json::object* file = item.if_object();
    const boost::json::value* name = file == nullptr ? nullptr : file->if_contains("name");
    const boost::json::value* text = file == nullptr ? nullptr : file->if_contains("text");
    if (name == nullptr || text == nullptr || !name->is_string() || !text->is_string()) {
      return false;
    }
    aFiles.push_back({ std::string(name->get_string()), std::string(text->get_string()) });
  }
  return true;
}

} // namespace

PlatformWatcher::PlatformWatcher(std::shared_ptr<GatewayParts> aParts)
  : mParts(std::move(aParts))
{
}

net::Task<PlatformWatcher::Reply> PlatformWatcher::Get(std::string aTarget, Duration aTimeout)
{
  const HttpUrl& url = mParts->settings.platformUrl;
  net::HttpRequest request;
  request.target = url.path + aTarget;
  const net::FetchLimits limits{ Milliseconds(500), aTimeout, 2097152 };
  co_return co_await net::Fetch(*mParts->pool, AddressOf(url), std::move(request), limits);
}

net::Task<void> PlatformWatcher::Run()
{
  const std::shared_ptr<PlatformWatcher> self = shared_from_this();
  bool mustRead = true;
  while (!mIsStopped) {
    if (mustRead && !co_await ReadOnce()) {
      co_await net::Sleep(kPauseAfterFailure);
      continue;
    }
    mustRead = co_await WaitForChange();
    if (!mustRead) {
      co_await net::Sleep(kPauseAfterFailure);
      mustRead = true;
    }
  }
}

net::Task<bool> PlatformWatcher::ReadOnce()
{
  // The revision is read first, so that a change between the two reads is seen by the watch.
  const Reply list = co_await Get("/objects?prefix=config/manifest", kReadTimeout);
  if (!list || list->status != 200) {
    co_return false;
  }
  boost::system::error_code ec;
  const boost::json::value listed = boost::json::parse(list->body, ec);
  const boost::json::object* object = ObjectIn(listed);
  if (object == nullptr || !object->contains("revision")) {
    co_return false;
  }
  mRevision = object->at("revision").to_number<std::int64_t>(ec);
  const Reply manifest = co_await Get("/objects/config/manifest", kReadTimeout);
  if (!manifest || manifest->status != 200) {
    co_return manifest && manifest->status == 404;
  }
  std::uint64_t generation = 0;
  const Result<std::vector<ConfigurationFile>, std::string> files =
    co_await ReadFiles(manifest->body, generation);
  if (!files) {
    telemetry::Log(Level::Warning, "configuration not read", { { "problem", files.error() } });
    co_return false;
  }
  Apply(generation, *files);
  co_return true;
}

net::Task<Result<std::vector<ConfigurationFile>, std::string>> PlatformWatcher::ReadFiles(
  const std::string& aManifest, std::uint64_t& aGeneration)
{
  boost::system::error_code ec;
  const boost::json::value parsed = boost::json::parse(aManifest, ec);
  const boost::json::object* manifest = ObjectIn(parsed);
  const boost::json::value* services =
    manifest == nullptr ? nullptr : manifest->if_contains("services");
  if (services == nullptr || !services->is_object() || !manifest->contains("generation")) {
    co_return Failure(std::string("manifest has another form"));
  }
  aGeneration = manifest->at("generation").to_number<std::uint64_t>(ec);
  std::vector<ConfigurationFile> files;
  std::map<std::string, std::string> used;
  for (const boost::json::key_value_pair& entry : services->get_object()) {
    const boost::json::object* service = entry.value().if_object();
    const boost::json::value* digest =
      service == nullptr ? nullptr : service->if_contains("digest");
    if (digest == nullptr || !digest->is_string()) {
      co_return Failure("manifest has no digest of " + std::string(entry.key()));
    }
    std::string name(digest->get_string());
    Result<std::string, std::string> content = co_await ReadContent(name);
    if (!content) {
      co_return Failure(content.error());
    }
    if (!AppendFiles(*content, files)) {
      co_return Failure("content " + name + " has another form");
    }
    used.emplace(std::move(name), std::move(*content));
  }
  mContents = std::move(used);
  co_return files;
}

net::Task<Result<std::string, std::string>> PlatformWatcher::ReadContent(std::string aDigest)
{
  const auto known = mContents.find(aDigest);
  if (known != mContents.end()) {
    co_return known->second;
  }
  Reply reply = co_await Get("/objects/config/content/" + aDigest, kReadTimeout);
  if (!reply || reply->status != 200) {
    co_return Failure("content " + aDigest + " cannot be read");
  }
  if (Sha256Hex(reply->body) != aDigest) {
    co_return Failure("content " + aDigest + " has another digest");
  }
  co_return std::move(reply->body);
}

void PlatformWatcher::Apply(std::uint64_t aGeneration, const std::vector<ConfigurationFile>& aFiles)
{
  const ConfigurationPointer current = mParts->configuration.Current();
  if (current && current->Generation() >= aGeneration) {
    return;
  }
  Result<Configuration, Faults> created = Configuration::Create(aGeneration, aFiles);
  if (!created) {
    telemetry::Log(Level::Error, "configuration refused",
                   { { "generation", aGeneration },
                     { "faults", created.error().size() },
                     { "first", ToString(created.error().front()) } });
    return;
  }
  const ConfigurationPointer next = std::make_shared<const Configuration>(std::move(*created));
  if (mParts->Apply(next, net::Now())) {
    telemetry::Log(Level::Info, "configuration in force", { { "generation", aGeneration } });
  }
}

net::Task<bool> PlatformWatcher::WaitForChange()
{
  const std::string target = "/watch?prefix=config/manifest&after=" + std::to_string(mRevision) +
                             "&timeout_ms=" + std::to_string(kWatchTimeout.count() / 1000);
  const Reply reply = co_await Get(target, kWatchTimeout * 3 / 2);
  co_return reply && reply->status == 200;
}

} // namespace masticstep::gateway
