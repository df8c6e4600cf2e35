#include "SpreadCluster.hpp"
#include "masticstep/base/Hash.hpp"
#include "masticstep/testing/Test.hpp"

#include <algorithm>

using namespace masticstep;

namespace {

std::size_t CountActive(SpreadCluster& aCluster, std::uint64_t aGeneration)
{
  std::size_t n = 0;
  for (const std::string& name : aCluster.Names()) {
    n += aCluster.At(name).mSpread.Configuration().generation == aGeneration ? 1U : 0U;
  }
  return n;
}

ContentMessage MakeChunk(const std::string& aDigest, const std::string& aBytes)
{
  ContentMessage chunk;
  chunk.kind = ContentMessageKind::Chunk;
  chunk.digest = aDigest;
  chunk.total = aBytes.size();
  chunk.bytes = aBytes;
  return chunk;
}

ContentMessage MakeNotice(std::uint64_t aGeneration, const std::string& aDigest)
{
  ContentMessage notice;
  notice.kind = ContentMessageKind::Notice;
  notice.generation = aGeneration;
  notice.digests = { aDigest };
  return notice;
}

} // namespace

// Guards against a configuration with contents of a megabyte that is late or incomplete on some
// daemon.
MASTICSTEP_TEST("a megabyte of configuration is in force everywhere within 5 s",
                "[spread][configuration]")
{
  SpreadCluster cluster(3, 12, 1);
  cluster.mNetwork.RunFor(Seconds(3));
  const ConfigurationBundle bundle =
    MakeBundle(1, { std::string(kMaximumContentSize, 'a'), "small" });
  cluster.PublishConfiguration("dc0-5", bundle);
  cluster.mNetwork.RunFor(Seconds(5));
  CHECK_EQUAL(36U, CountActive(cluster, 1));
  CHECK_TRUE(cluster.At("dc2-11").mSpread.Configuration().contents.at(Sha256Hex("small")) !=
             nullptr);
}

// Guards against frames above the size limit of the codec.
MASTICSTEP_TEST("chunks of contents fit into frames", "[spread][configuration][bounds]")
{
  SpreadCluster cluster(1, 2, 2);
  std::size_t largest = 0;
  cluster.mNetwork.mOnSend = [&largest](const std::string&, const std::string&,
                                        const SpreadPayload& aMessage) {
    if (const ContentMessage* content = std::get_if<ContentMessage>(&aMessage)) {
      largest = std::max(largest, content->bytes.size());
    }
  };
  cluster.PublishConfiguration("dc0-0", MakeBundle(1, { std::string(kMaximumContentSize, 'a') }));
  cluster.mNetwork.RunFor(Seconds(5));
  CHECK_EQUAL(2U, CountActive(cluster, 1));
  CHECK_EQUAL(kContentChunkSize, largest);
}

// Guards against a data centre that stays on an old generation when only peers are reachable, and
// against a downgrade when an old generation is published late.
MASTICSTEP_TEST("a cut data centre catches up from peers and never goes back",
                "[spread][configuration][partition]")
{
  SpreadCluster cluster(2, 6, 3);
  cluster.mNetwork.RunFor(Seconds(3));
  cluster.mNetwork.mIsCut = [](const std::string& aFrom, const std::string& aTo) {
    return aFrom.substr(0, 3) != aTo.substr(0, 3);
  };
  cluster.PublishConfiguration("dc0-1", MakeBundle(2, { "two" }));
  cluster.PublishConfiguration("dc1-1", MakeBundle(1, { "one" }));
  cluster.mNetwork.RunFor(Seconds(60));
  CHECK_EQUAL(6U, CountActive(cluster, 1));
  cluster.mNetwork.mIsCut = [](const std::string&, const std::string&) { return false; };
  cluster.mNetwork.RunFor(Seconds(15));
  CHECK_EQUAL(12U, CountActive(cluster, 2));
  cluster.PublishConfiguration("dc1-4", MakeBundle(1, { "one" }));
  cluster.mNetwork.RunFor(Seconds(15));
  CHECK_EQUAL(12U, CountActive(cluster, 2));
  for (const std::string& name : cluster.Names()) {
    CHECK_TRUE(std::ranges::is_sorted(cluster.At(name).mGenerations));
  }
}

// Guards against accepting contents that don't match their digest, and against a fetch that doesn't
// continue when its source stops answering or sends wrong data.
MASTICSTEP_TEST("a damaged or silent source is replaced by another",
                "[spread][configuration][failure]")
{
  const std::string digest = Sha256Hex("content");
  const Time start{};
  ConfigurationSpread spread;
  ConfigurationActions actions = spread.OnMessage("a", MakeNotice(1, digest), start);
  CHECK_EQUAL("a", actions.sends.front().address);
  spread.OnMessage("b", MakeNotice(1, digest), start);
  spread.OnMessage("c", MakeNotice(1, digest), start);
  actions = spread.OnMessage("a", MakeChunk(digest, "damaged"), start);
  CHECK_FALSE(actions.ready.has_value());
  CHECK_EQUAL("b", actions.sends.front().address);
  actions = spread.OnTime(start + kChunkTimeout);
  CHECK_EQUAL("c", actions.sends.front().address);
  actions = spread.OnMessage("c", MakeChunk(digest, "content"), start + kChunkTimeout);
  CHECK_EQUAL(1U, actions.ready->generation);
}

// Guards against fetching unchanged contents again when one service changed.
MASTICSTEP_TEST("unchanged contents are not fetched again", "[spread][configuration]")
{
  SpreadCluster cluster(1, 2, 5);
  cluster.mNetwork.RunFor(Seconds(2));
  cluster.PublishConfiguration("dc0-0", MakeBundle(1, { "one", "two" }));
  cluster.mNetwork.RunFor(Seconds(3));
  std::size_t chunks = 0;
  cluster.mNetwork.mOnSend = [&chunks](const std::string&, const std::string&,
                                       const SpreadPayload& aMessage) {
    const ContentMessage* content = std::get_if<ContentMessage>(&aMessage);
    chunks += content != nullptr && content->kind == ContentMessageKind::Chunk ? 1U : 0U;
  };
  cluster.PublishConfiguration("dc0-0", MakeBundle(2, { "one", "three" }));
  cluster.mNetwork.RunFor(Seconds(3));
  CHECK_EQUAL(2U, CountActive(cluster, 2));
  CHECK_EQUAL(1U, chunks);
}

// Guards against allocating memory for a content size that a peer claims.
MASTICSTEP_TEST("contents above a megabyte are not taken", "[spread][configuration][bounds]")
{
  const std::string digest = Sha256Hex("content");
  ConfigurationSpread spread;
  spread.OnMessage("a", MakeNotice(1, digest), Time{});
  ContentMessage chunk = MakeChunk(digest, "content");
  chunk.total = kMaximumContentSize + 1;
  const ConfigurationActions actions = spread.OnMessage("a", chunk, Time{});
  CHECK_FALSE(actions.ready.has_value());
  const ContentMessage& request = std::get<ContentMessage>(actions.sends.front().message);
  CHECK_TRUE(request.kind == ContentMessageKind::ChunkRequest && request.offset == 0U);
}
