#include "StoreReader.hpp"

#include "masticstep/publication/GenerationTracker.hpp"

#include <future>

namespace masticstep {

std::optional<std::string> StoreReader::ReadObject(platform::ObjectKey aKey)
{
  std::promise<platform::PlatformReply> replyPromise;
  mStore.Submit(
    { ++mLastRequestNumber, platform::ReadRequest{ std::move(aKey) } },
    [&replyPromise](platform::PlatformReply aReply) { replyPromise.set_value(std::move(aReply)); });
  platform::PlatformReply reply = replyPromise.get_future().get();
  if (reply.status != platform::PlatformStatus::Done) {
    return std::nullopt;
  }
  return std::move(reply.body);
}

std::shared_ptr<const Configuration> StoreReader::ReadConfiguration()
{
  publication::GenerationTracker tracker;
  const std::optional<std::string> manifest = ReadObject(publication::ManifestKey());
  if (!manifest) {
    return nullptr;
  }
  for (const std::string& digest : tracker.OnManifest(*manifest).digestsToFetch) {
    const std::optional<std::string> content = ReadObject(publication::ContentKey(digest));
    if (!content) {
      return nullptr;
    }
    tracker.OnContent(*content);
  }
  return tracker.Current();
}

std::optional<publication::InForceReport> StoreReader::ReadInForce(
  const DataCentreName& aDataCentre)
{
  const std::optional<std::string> text = ReadObject(publication::InForceKey(aDataCentre));
  if (!text) {
    return std::nullopt;
  }
  const Result<publication::InForceReport, Faults> report = publication::ParseInForce(*text);
  return report ? std::optional(*report) : std::nullopt;
}

} // namespace masticstep
