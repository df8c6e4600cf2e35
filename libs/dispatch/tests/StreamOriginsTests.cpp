#include "masticstep/dispatch/StreamOrigins.hpp"

#include "masticstep/testing/Test.hpp"

#include <initializer_list>
#include <string>

using namespace masticstep;
using namespace masticstep::dispatch;

namespace {

const ServiceName kService{ "llm" };
const SoftwareVersion kOld{ "v1" };
const SoftwareVersion kNew{ "v2" };
constexpr Duration kLifetime = StreamOrigins::kStreamLifetime;
constexpr Time kStart{ Seconds(1000) };
constexpr std::size_t kMany = 1000;

std::map<BackendServerName, Backend> Serving(std::initializer_list<SoftwareVersion> aVersions)
{
  std::map<BackendServerName, Backend> backends;
  for (const SoftwareVersion& version : aVersions) {
    Backend backend;
    backend.id = BackendServerName{ "i-" + version.Text() };
    backend.service = kService;
    backend.softwareVersion = version;
    backends[backend.id] = backend;
  }
  return backends;
}

// A daemon whose only version has been in service for the longest life of a stream.
StreamOrigins SettledDaemon()
{
  StreamOrigins origins;
  origins.OnBackends(Serving({ kOld }), kStart - kLifetime);
  return origins;
}

std::size_t CountStreams(const std::vector<StreamGroup>& aGroups)
{
  std::size_t count = 0;
  for (const StreamGroup& group : aGroups) {
    count += group.streams.size();
  }
  return count;
}

} // namespace

MASTICSTEP_TEST("streams without a record began at the only version", "[dispatch][origins]")
{
  StreamOrigins origins = SettledDaemon();
  CHECK_TRUE(
    (origins.Find("a", kService, kStart) == StreamOrigin{ OriginKind::Unambiguous, kOld }));
  CHECK_TRUE(origins.Find("a", ServiceName{ "other" }, kStart).kind == OriginKind::Unknown);
}

// Guards against a stream that goes on at another version than the one that began it.
MASTICSTEP_TEST("streams without a record are unknown while a second version may have begun them",
                "[dispatch][origins]")
{
  StreamOrigins origins = SettledDaemon();
  origins.OnBackends(Serving({ kOld, kNew }), kStart);
  CHECK_TRUE(origins.Find("a", kService, kStart).kind == OriginKind::Unknown);
  const Time oldLeaves = kStart + Seconds(5);
  origins.OnBackends(Serving({ kNew }), oldLeaves);
  CHECK_TRUE(origins.Find("a", kService, oldLeaves + kLifetime - Seconds(1)).kind ==
             OriginKind::Unknown);
  CHECK_TRUE((origins.Find("a", kService, oldLeaves + kLifetime) ==
              StreamOrigin{ OriginKind::Unambiguous, kNew }));
}

MASTICSTEP_TEST("records name the version that began a stream", "[dispatch][origins]")
{
  StreamOrigins origins = SettledDaemon();
  origins.OnBegan("a", kService, kOld, kStart);
  origins.OnBackends(Serving({ kNew }), kStart);
  origins.OnBegan("b", kService, kNew, kStart);
  CHECK_TRUE((origins.Find("a", kService, kStart) == StreamOrigin{ OriginKind::Known, kOld }));
  CHECK_TRUE((origins.Find("b", kService, kStart) == StreamOrigin{ OriginKind::Known, kNew }));
}

// Guards against a restarted daemon that takes the versions in service for the only ones.
MASTICSTEP_TEST("a daemon without history knows no origin until it has read what others stored",
                "[dispatch][origins]")
{
  StreamOrigins origins;
  origins.OnBackends(Serving({ kNew }), kStart);
  CHECK_TRUE(origins.Find("a", kService, kStart).kind == OriginKind::Unknown);
  StreamOrigins reader = origins;
  reader.OnHistoryRead({ { kService, kNew, Duration::zero() } }, kStart);
  CHECK_TRUE(reader.Find("a", kService, kStart).kind == OriginKind::Unambiguous);
  reader = origins;
  reader.OnHistoryRead({ { kService, kOld, Seconds(10) } }, kStart);
  CHECK_TRUE(reader.Find("a", kService, kStart).kind == OriginKind::Unknown);
  CHECK_TRUE(reader.Find("a", kService, kStart + kLifetime - Seconds(10)).kind ==
             OriginKind::Unambiguous);
  CHECK_TRUE(origins.Find("a", kService, kStart + kLifetime).kind == OriginKind::Unambiguous);
}

// Guards against streams that nobody can resume since the daemon that began them was lost before
// the others knew of a second version.
MASTICSTEP_TEST("records are handed out while one version is in service", "[dispatch][origins]")
{
  StreamOrigins origins = SettledDaemon();
  origins.OnBegan("a", kService, kOld, kStart);
  CHECK_FALSE(origins.HasSeveralVersions(kStart));
  CHECK_EQUAL(std::size_t{ 1 }, CountStreams(origins.TakeUnsent(kMany, kStart)));
  CHECK_EQUAL(std::size_t{ 1 }, CountStreams(origins.TakeUnstored(kMany, kStart)));
  origins.OnBackends(Serving({ kOld, kNew }), kStart + Seconds(2));
  CHECK_TRUE(origins.HasSeveralVersions(kStart + Seconds(2)));
}

MASTICSTEP_TEST("records are handed out several times to other daemons and once to the store",
                "[dispatch][origins]")
{
  StreamOrigins origins = SettledDaemon();
  origins.OnBegan("a", kService, kOld, kStart);
  origins.OnBackends(Serving({ kOld, kNew }), kStart + Seconds(2));
  const std::vector<StreamGroup> expected{ { kService, kOld, { StreamOrigins::StreamId("a") } } };
  for (std::uint32_t i = 0; i < StreamOrigins::kTimesSent; ++i) {
    CHECK_TRUE(origins.TakeUnsent(kMany, kStart + Seconds(2)) == expected);
  }
  CHECK_TRUE(origins.TakeUnsent(kMany, kStart + Seconds(2)).empty());
  CHECK_TRUE(origins.TakeUnstored(kMany, kStart + Seconds(2)) == expected);
  CHECK_TRUE(origins.TakeUnstored(kMany, kStart + Seconds(2)).empty());
  origins.SendAgain(kStart + Seconds(3));
  CHECK_TRUE(origins.TakeUnsent(kMany, kStart + Seconds(3)) == expected);
}

MASTICSTEP_TEST("records of others are known and stored, but not sent on", "[dispatch][origins]")
{
  StreamOrigins origins = SettledDaemon();
  origins.Merge({ { kService, kNew, { StreamOrigins::StreamId("a") } } }, kStart);
  CHECK_TRUE((origins.Find("a", kService, kStart) == StreamOrigin{ OriginKind::Known, kNew }));
  // The other daemon has seen a version that this one has not.
  CHECK_TRUE(origins.Find("b", kService, kStart).kind == OriginKind::Unknown);
  CHECK_TRUE(origins.TakeUnsent(kMany, kStart).empty());
  CHECK_EQUAL(std::size_t{ 1 }, CountStreams(origins.TakeUnstored(kMany, kStart)));
}

// Guards against datagrams and objects that are too large when a second version appears.
MASTICSTEP_TEST("at most the requested number of records is handed out", "[dispatch][origins]")
{
  StreamOrigins origins = SettledDaemon();
  for (int i = 0; i < 10; ++i) {
    origins.OnBegan(std::to_string(i), kService, kOld, kStart);
  }
  origins.OnBackends(Serving({ kOld, kNew }), kStart);
  std::size_t sent = 0;
  for (std::size_t count = 1; count > 0; sent += count) {
    count = CountStreams(origins.TakeUnsent(4, kStart));
    CHECK_TRUE(count <= 4);
  }
  CHECK_EQUAL(std::size_t{ 10 } * StreamOrigins::kTimesSent, sent);
  CHECK_EQUAL(std::size_t{ 4 }, CountStreams(origins.TakeUnstored(4, kStart)));
  CHECK_EQUAL(std::size_t{ 6 }, CountStreams(origins.TakeUnstored(kMany, kStart)));
}

// Guards against a daemon whose memory grows without bound.
MASTICSTEP_TEST("records are dropped by age and, beyond the bound, oldest first",
                "[dispatch][origins][bounds]")
{
  StreamOrigins origins = SettledDaemon();
  for (std::size_t i = 0; i <= StreamOrigins::kMaximumStreams; ++i) {
    origins.OnBegan(std::to_string(i), kService, kOld, kStart);
  }
  CHECK_EQUAL(StreamOrigins::kMaximumStreams, origins.StreamCount());
  CHECK_TRUE(origins.Find("0", kService, kStart).kind == OriginKind::Unambiguous);
  CHECK_TRUE(origins.Find("1", kService, kStart).kind == OriginKind::Known);
  origins.OnBackends(Serving({ kOld }), kStart + kLifetime);
  CHECK_EQUAL(std::size_t{ 0 }, origins.StreamCount());
}

MASTICSTEP_TEST("versions are named for the longest life of a stream after they left",
                "[dispatch][origins]")
{
  StreamOrigins origins = SettledDaemon();
  origins.OnBackends(Serving({ kNew }), kStart);
  const std::vector<ServiceVersion> both{ { kService, kOld, Seconds(4) },
                                          { kService, kNew, Duration::zero() } };
  CHECK_TRUE(origins.Versions(kStart + Seconds(4)) == both);
  CHECK_EQUAL(std::size_t{ 1 }, origins.Versions(kStart + kLifetime).size());
}
