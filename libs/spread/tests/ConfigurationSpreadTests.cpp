#include "SpreadCluster.hpp"
#include "masticstep/base/Hash.hpp"
#include "masticstep/testing/Test.hpp"

#include <algorithm>

using namespace masticstep;

namespace {

std::size_t InForce(SpreadCluster& aCluster, std::uint64_t aGeneration)
{
  std::size_t n = 0;
  for (const std::string& name : aCluster.Names()) {
    n += aCluster.At(name).mSpread.Configuration().generation == aGeneration ? 1U : 0U;
  }
  return n;
}

ContentMessage ChunkOf(const std::string& aDigest, const std::string& aBytes)
{
  ContentMessage chunk;
  chunk.kind = ContentMessageKind::Chunk;
  chunk.digest = aDigest;
  chunk.total = aBytes.size();
  chunk.bytes = aBytes;
  return chunk;
}

ContentMessage NoticeOf(std::uint64_t aGeneration, const std::string& aDigest)
{
  ContentMessage notice;
  notice.kind = ContentMessageKind::Notice;
  notice.generation = aGeneration;
  notice.digests = { aDigest };
  return notice;
}

} // namespace

// Guards against a configuration that is late or incomplete anywhere, with contents of a megabyte.
MASTICSTEP_TEST("a megabyte of configuration is in force everywhere within 5 s",
                "[spread][configuration]")
{
  SpreadCluster cluster(3, 12, 1);
  cluster.mNetwork.RunFor(Seconds(3));
  const ConfigurationBundle bundle =
    MakeBundle(1, { std::string(kMaximumContentSize, 'a'), "small" });
  cluster.PublishConfiguration("dc0-5", bundle);
  cluster.mNetwork.RunFor(Seconds(5));
  CHECK_EQUAL(36U, InForce(cluster, 1));
  CHECK_TRUE(cluster.At("dc2-11").mSpread.Configuration().contents.at(Sha256Hex("small")) !=
             nullptr);
}

// Guards against frames above the limit of the codec.
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
  CHECK_EQUAL(2U, InForce(cluster, 1));
  CHECK_EQUAL(kContentChunkSize, largest);
}

// Guards against a data centre that reaches only peers and stays on an old generation, and against
// going back when an old generation is published late.
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
  CHECK_EQUAL(6U, InForce(cluster, 1));
  cluster.mNetwork.mIsCut = [](const std::string&, const std::string&) { return false; };
  cluster.mNetwork.RunFor(Seconds(15));
  CHECK_EQUAL(12U, InForce(cluster, 2));
  cluster.PublishConfiguration("dc1-4", MakeBundle(1, { "one" }));
  cluster.mNetwork.RunFor(Seconds(15));
  CHECK_EQUAL(12U, InForce(cluster, 2));
  for (const std::string& name : cluster.Names()) {
    CHECK_TRUE(std::ranges::is_sorted(cluster.At(name).mGenerations));
  }
}

// Guards against contents whose bytes do not match their digest, and against a peer that dies or
// lies in the middle of a fetch.
MASTICSTEP_TEST("a damaged or silent source is replaced by another",
                "[spread][configuration][failure]")
{
  const std::string digest = Sha256Hex("content");
  const Time start{};
  ConfigurationSpread spread;
  ConfigurationActions actions = spread.OnMessage("a", NoticeOf(1, digest), start);
  CHECK_EQUAL("a", actions.sends.front().address);
  spread.OnMessage("b", NoticeOf(1, digest), start);
  spread.OnMessage("c", NoticeOf(1, digest), start);
  actions = spread.OnMessage("a", ChunkOf(digest, "damaged"), start);
  CHECK_FALSE(actions.ready.has_value());
  CHECK_EQUAL("b", actions.sends.front().address);
  actions = spread.OnTime(start + kContentTimeout);
  CHECK_EQUAL("c", actions.sends.front().address);
  actions = spread.OnMessage("c", ChunkOf(digest, "content"), start + kContentTimeout);
  CHECK_EQUAL(1U, actions.ready->generation);
}

// Guards against fetching every service again when one changed.
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
  CHECK_EQUAL(2U, InForce(cluster, 2));
  CHECK_EQUAL(1U, chunks);
}

// Guards against memory taken on the word of a peer.
MASTICSTEP_TEST("contents above a megabyte are not taken", "[spread][configuration][bounds]")
{
  const std::string digest = Sha256Hex("content");
  ConfigurationSpread spread;
  spread.OnMessage("a", NoticeOf(1, digest), Time{});
  ContentMessage chunk = ChunkOf(digest, "content");
  chunk.total = kMaximumContentSize + 1;
  const ConfigurationActions actions = spread.OnMessage("a", chunk, Time{});
  CHECK_FALSE(actions.ready.has_value());
  const ContentMessage& ask = std::get<ContentMessage>(actions.sends.front().message);
  CHECK_TRUE(ask.kind == ContentMessageKind::Ask && ask.offset == 0U);
}
