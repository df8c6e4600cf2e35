#include "StoreReader.hpp"

#include "masticstep/publication/GenerationTracker.hpp"

#include <future>

namespace masticstep {

std::optional<std::string> StoreReader::Read(platform::ObjectKey aKey)
{
  std::promise<platform::PlatformReply> answered;
  mStore.Submit(
    { ++mNumber, platform::ReadRequest{ std::move(aKey) } },
    [&answered](platform::PlatformReply aReply) { answered.set_value(std::move(aReply)); });
  platform::PlatformReply reply = answered.get_future().get();
  if (reply.status != platform::PlatformStatus::Done) {
    return std::nullopt;
  }
  return std::move(reply.body);
}

std::shared_ptr<const Configuration> StoreReader::ReadConfiguration()
{
  publication::GenerationTracker tracker;
  const std::optional<std::string> manifest = Read(publication::ManifestKey());
  if (!manifest) {
    return nullptr;
  }
  for (const std::string& digest : tracker.OnManifest(*manifest).digestsToFetch) {
    const std::optional<std::string> content = Read(publication::ContentKey(digest));
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
  const std::optional<std::string> text = Read(publication::InForceKey(aDataCentre));
  if (!text) {
    return std::nullopt;
  }
  const Result<publication::InForceReport, Faults> report = publication::ParseInForce(*text);
  return report ? std::optional(*report) : std::nullopt;
}

} // namespace masticstep
