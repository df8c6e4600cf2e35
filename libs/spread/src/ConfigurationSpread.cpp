#include "masticstep/spread/ConfigurationSpread.hpp"

#include "masticstep/base/Hash.hpp"

#include <algorithm>
#include <utility>

namespace masticstep {

ConfigurationActions ConfigurationSpread::Publish(ConfigurationBundle aBundle, Time)
{
  ConfigurationActions actions;
  if (aBundle.generation > mCurrent.generation) {
    Activate(std::move(aBundle), actions);
  }
  return actions;
}

ConfigurationActions ConfigurationSpread::OnMessage(const std::string& aFrom,
                                                    const ContentMessage& aMessage, Time aNow)
{
  ConfigurationActions actions;
  switch (aMessage.kind) {
    case ContentMessageKind::NoticeRequest:
      if (mCurrent.generation > aMessage.generation) {
        actions.sends.push_back({ aFrom, Notice() });
      }
      break;
    case ContentMessageKind::Notice:
      OnNotice(aFrom, aMessage, aNow, actions);
      break;
    case ContentMessageKind::ChunkRequest:
      SendChunk(aFrom, aMessage, actions);
      break;
    case ContentMessageKind::Chunk:
      OnChunk(aFrom, aMessage, aNow, actions);
      break;
  }
  return actions;
}

ConfigurationActions ConfigurationSpread::OnGeneration(const std::string& aFrom,
                                                       std::uint64_t aGeneration, Time aNow)
{
  ConfigurationActions actions;
  const bool isFetching = mFetch && mFetch->bundle.generation >= aGeneration;
  if (isFetching && mFetch->bundle.generation == aGeneration) {
    mFetch->sources.insert(aFrom);
  }
  if (aGeneration > mCurrent.generation && !isFetching) {
    ContentMessage request;
    request.kind = ContentMessageKind::NoticeRequest;
    request.generation = mCurrent.generation;
    actions.sends.push_back({ aFrom, std::move(request) });
  }
  if (mFetch && aNow >= mFetch->deadline) {
    TryNextSource(aNow, actions);
  }
  return actions;
}

ConfigurationActions ConfigurationSpread::OnTime(Time aNow)
{
  ConfigurationActions actions;
  if (mFetch && aNow >= mFetch->deadline) {
    TryNextSource(aNow, actions);
  }
  return actions;
}

std::optional<Time> ConfigurationSpread::NextWakeUp() const
{
  return mFetch ? std::optional<Time>(mFetch->deadline) : std::nullopt;
}

void ConfigurationSpread::OnNotice(const std::string& aFrom, const ContentMessage& aMessage,
                                   Time aNow, ConfigurationActions& aActions)
{
  if (aMessage.generation <= mCurrent.generation) {
    return;
  }
  if (mFetch && mFetch->bundle.generation >= aMessage.generation) {
    if (mFetch->bundle.generation == aMessage.generation) {
      mFetch->sources.insert(aFrom);
    }
    return;
  }
  // Contents fetched for an older generation are reused, since they are identified by digest.
  std::map<std::string, std::shared_ptr<const std::string>> known = mCurrent.contents;
  if (mFetch) {
    known.insert(mFetch->bundle.contents.begin(), mFetch->bundle.contents.end());
  }
  mFetch = Fetch{ { aMessage.generation, aMessage.manifest, {} }, {}, {}, { aFrom }, aFrom, aNow };
  for (const std::string& digest : aMessage.digests) {
    const std::map<std::string, std::shared_ptr<const std::string>>::iterator it =
      known.find(digest);
    if (it != known.end()) {
      mFetch->bundle.contents.insert(*it);
    } else if (!std::ranges::count(mFetch->missing, digest)) {
      mFetch->missing.push_back(digest);
    }
  }
  RequestNextChunk(aNow, aActions);
}

void ConfigurationSpread::RequestNextChunk(Time aNow, ConfigurationActions& aActions)
{
  if (mFetch->missing.empty()) {
    ConfigurationBundle bundle = std::move(mFetch->bundle);
    mFetch.reset();
    Activate(std::move(bundle), aActions);
    return;
  }
  mFetch->deadline = aNow + kChunkTimeout;
  ContentMessage request;
  request.kind = ContentMessageKind::ChunkRequest;
  request.digest = mFetch->missing.back();
  request.offset = mFetch->partial.size();
  aActions.sends.push_back({ mFetch->source, std::move(request) });
}

void ConfigurationSpread::SendChunk(const std::string& aFrom, const ContentMessage& aMessage,
                                    ConfigurationActions& aActions) const
{
  const std::map<std::string, std::shared_ptr<const std::string>>::const_iterator it =
    mCurrent.contents.find(aMessage.digest);
  if (it == mCurrent.contents.end() || aMessage.offset > it->second->size()) {
    return; // replaced by a newer generation, which the peer learns of by its announcement
  }
  ContentMessage chunk;
  chunk.kind = ContentMessageKind::Chunk;
  chunk.digest = aMessage.digest;
  chunk.offset = aMessage.offset;
  chunk.total = it->second->size();
  chunk.bytes = it->second->substr(aMessage.offset, kContentChunkSize);
  aActions.sends.push_back({ aFrom, std::move(chunk) });
}

void ConfigurationSpread::OnChunk(const std::string& aFrom, const ContentMessage& aMessage,
                                  Time aNow, ConfigurationActions& aActions)
{
  const bool isExpected = mFetch && aFrom == mFetch->source && !mFetch->missing.empty() &&
                          aMessage.digest == mFetch->missing.back() &&
                          aMessage.offset == mFetch->partial.size();
  if (!isExpected) {
    return;
  }
  const std::size_t size = aMessage.offset + aMessage.bytes.size();
  const bool isEmpty = aMessage.bytes.empty() && aMessage.total > aMessage.offset;
  if (isEmpty || aMessage.total > kMaximumContentSize || size > aMessage.total) {
    TryNextSource(aNow, aActions);
    return;
  }
  mFetch->partial += aMessage.bytes;
  if (size < aMessage.total) {
    RequestNextChunk(aNow, aActions);
    return;
  }
  std::string content = std::exchange(mFetch->partial, {});
  if (Sha256Hex(content) != aMessage.digest) {
    mFetch->sources.erase(aFrom);
    TryNextSource(aNow, aActions);
    return;
  }
  mFetch->bundle.contents[aMessage.digest] =
    std::make_shared<const std::string>(std::move(content));
  mFetch->missing.pop_back();
  RequestNextChunk(aNow, aActions);
}

void ConfigurationSpread::TryNextSource(Time aNow, ConfigurationActions& aActions)
{
  mFetch->partial.clear();
  if (mFetch->sources.empty()) {
    // No source is left. The fetch restarts when a neighbour reports the generation in a message.
    mFetch.reset();
    return;
  }
  std::set<std::string>::iterator it = mFetch->sources.upper_bound(mFetch->source);
  if (it == mFetch->sources.end()) {
    it = mFetch->sources.begin();
  }
  mFetch->source = *it;
  RequestNextChunk(aNow, aActions);
}

void ConfigurationSpread::Activate(ConfigurationBundle aBundle, ConfigurationActions& aActions)
{
  mCurrent = std::move(aBundle);
  if (mFetch && mFetch->bundle.generation <= mCurrent.generation) {
    mFetch.reset();
  }
  for (const std::string& address : mNeighbours) {
    aActions.sends.push_back({ address, Notice() });
  }
  aActions.ready = mCurrent;
}

ContentMessage ConfigurationSpread::Notice() const
{
  ContentMessage notice;
  notice.kind = ContentMessageKind::Notice;
  notice.generation = mCurrent.generation;
  notice.manifest = mCurrent.manifest;
  for (const std::pair<const std::string, std::shared_ptr<const std::string>>& content :
       mCurrent.contents) {
    notice.digests.push_back(content.first);
  }
  return notice;
}

} // namespace masticstep
