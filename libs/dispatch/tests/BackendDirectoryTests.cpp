#include "masticstep/dispatch/BackendDirectory.hpp"

#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::dispatch;

namespace {

constexpr Time kStart{ Seconds(100) };

Backend MakeBackend(const std::string& aId, std::uint16_t aPort, bool aIsDraining = false)
{
  Backend backend;
  backend.id = BackendServerName{ aId };
  backend.service = ServiceName{ "s" };
  backend.address = { "10.0.0.1", aPort };
  backend.isDraining = aIsDraining;
  return backend;
}

bool Contains(const BackendDirectory& aDirectory, const std::string& aId)
{
  return aDirectory.Backends().contains(BackendServerName{ aId });
}

} // namespace

MASTICSTEP_TEST("a removed backend server is dropped immediately while the store is reachable",
                "[dispatch][directory]")
{
  BackendDirectory directory;
  CHECK_FALSE(directory.IsLoaded());
  directory.Replace({ MakeBackend("a", 1), MakeBackend("b", 2) }, kStart);
  CHECK_TRUE(directory.IsLoaded());
  directory.Remove(BackendServerName{ "a" }, kStart);
  CHECK_FALSE(Contains(directory, "a"));
  CHECK_TRUE(Contains(directory, "b"));
}

// Guards against dropping live backend servers whose entries expired during a store outage.
MASTICSTEP_TEST("an entry that expired during an outage is kept until the grace period ends",
                "[dispatch][directory][failure]")
{
  BackendDirectory directory;
  directory.Replace({ MakeBackend("a", 1), MakeBackend("b", 2) }, kStart);
  directory.OnStoreLost();
  const Time back = kStart + Seconds(8);
  directory.OnStoreRecovered(back);
  directory.Replace({}, back);
  CHECK_TRUE(Contains(directory, "a"));
  directory.Set(MakeBackend("a", 1), back);
  CHECK_FALSE(directory.RemoveExpired(back + Milliseconds(1900)));
  CHECK_TRUE(directory.RemoveExpired(back + BackendDirectory::kReregistrationGrace));
  CHECK_TRUE(Contains(directory, "a"));
  CHECK_FALSE(Contains(directory, "b"));
}

// Guards against sending requests to a backend server that announced its shutdown.
MASTICSTEP_TEST("a draining backend server is not kept after an outage",
                "[dispatch][directory][failure]")
{
  BackendDirectory directory;
  directory.Replace({ MakeBackend("a", 1, true) }, kStart);
  directory.OnStoreLost();
  directory.OnStoreRecovered(kStart + Seconds(5));
  directory.Remove(BackendServerName{ "a" }, kStart + Seconds(5));
  CHECK_FALSE(Contains(directory, "a"));
}

// Guards against sending requests to the previous owner of a reused address.
MASTICSTEP_TEST("a new backend server at an address replaces the earlier one",
                "[dispatch][directory]")
{
  BackendDirectory directory;
  directory.Replace({ MakeBackend("a", 1) }, kStart);
  Backend next = MakeBackend("b", 1);
  next.startedAtMs = 5;
  directory.Set(next, kStart);
  CHECK_FALSE(Contains(directory, "a"));
  CHECK_TRUE(Contains(directory, "b"));
}

namespace {

constexpr Duration kLifetime = Milliseconds(4800);

Backend StartedAt(Backend aBackend, std::int64_t aTimeMs)
{
  aBackend.startedAtMs = aTimeMs;
  return aBackend;
}

} // namespace

// Guards against sending requests to a server whose drain notice the store has lost.
MASTICSTEP_TEST("a restored store does not take back that a server is draining",
                "[dispatch][directory][restored]")
{
  BackendDirectory directory;
  directory.Replace({ StartedAt(MakeBackend("a", 1), 7) }, kStart);
  directory.Set(StartedAt(MakeBackend("a", 1, true), 7), kStart);
  directory.OnStoreRestored(kStart + Seconds(9));
  directory.Replace({ StartedAt(MakeBackend("a", 1), 7) }, kStart + Seconds(9));
  CHECK_TRUE(directory.Backends().at(BackendServerName{ "a" }).isDraining);
  // A new process of the server is another matter.
  directory.Set(StartedAt(MakeBackend("a", 1), 8), kStart + Seconds(10));
  CHECK_FALSE(directory.Backends().at(BackendServerName{ "a" }).isDraining);
}

// Guards against sending requests to servers that had left when the store came back from an older
// copy, which shows them until their entries expire.
MASTICSTEP_TEST("entries of departed servers in a restored store are not used",
                "[dispatch][directory][restored]")
{
  BackendDirectory directory;
  directory.SetEntryLifetime(kLifetime);
  const std::vector<Backend> copy{ StartedAt(MakeBackend("gone", 1), 7),
                                   StartedAt(MakeBackend("silent", 2), 7) };
  directory.Replace(copy, kStart);
  directory.Remove(BackendServerName{ "gone" }, kStart);
  directory.Remove(BackendServerName{ "silent" }, kStart);
  const Time back = kStart + Seconds(9);
  directory.OnStoreRestored(back);
  directory.Replace(copy, back);
  CHECK_EQUAL(std::size_t{ 2 }, directory.DoubtfulCount());
  CHECK_TRUE(directory.Backends().empty());
  // The entry of a server that is gone expires; one that lives outlasts that time.
  directory.Remove(BackendServerName{ "gone" }, back + Seconds(3));
  CHECK_FALSE(directory.RemoveExpired(back + kLifetime));
  CHECK_TRUE(directory.RemoveExpired(back + kLifetime + BackendDirectory::kReregistrationGrace));
  CHECK_TRUE(Contains(directory, "silent"));
  CHECK_FALSE(Contains(directory, "gone"));
}

MASTICSTEP_TEST("a departed server that writes to a restored store is used at once",
                "[dispatch][directory][restored]")
{
  BackendDirectory directory;
  directory.Replace({ StartedAt(MakeBackend("a", 1), 7) }, kStart);
  directory.Remove(BackendServerName{ "a" }, kStart);
  directory.OnStoreRestored(kStart + Seconds(9));
  directory.Replace({ StartedAt(MakeBackend("a", 1), 7) }, kStart + Seconds(9));
  directory.Set(StartedAt(MakeBackend("a", 1), 7), kStart + Seconds(10));
  CHECK_TRUE(Contains(directory, "a"));
  // Entries that expire and come back after the restore are those of live servers.
  directory.Remove(BackendServerName{ "a" }, kStart + Milliseconds(11500));
  directory.Replace({ StartedAt(MakeBackend("a", 1), 7) }, kStart + Milliseconds(11600));
  CHECK_TRUE(Contains(directory, "a"));
}

// Guards against dropping servers that started after the copy was made.
MASTICSTEP_TEST("servers and processes that a restored store does not know are kept for a time",
                "[dispatch][directory][restored]")
{
  BackendDirectory directory;
  directory.Replace({ StartedAt(MakeBackend("new", 1), 7), StartedAt(MakeBackend("again", 2), 9) },
                    kStart);
  const Time back = kStart + Seconds(2);
  directory.OnStoreRestored(back);
  directory.Replace({ StartedAt(MakeBackend("again", 2), 4) }, back);
  CHECK_TRUE(Contains(directory, "new"));
  CHECK_EQUAL(std::int64_t{ 9 }, directory.Backends().at(BackendServerName{ "again" }).startedAtMs);
  CHECK_TRUE(directory.RemoveExpired(back + BackendDirectory::kReregistrationGrace));
  CHECK_FALSE(Contains(directory, "new"));
}

// Guards against requests to a server that leaves while the store cannot say so yet or any more.
MASTICSTEP_TEST("a server that announced that it leaves drains whatever its entry says",
                "[dispatch][directory][leaving]")
{
  const BackendServerName id{ "a" };
  const Backend ready = StartedAt(MakeBackend("a", 1), 7);
  BackendDirectory directory;
  directory.Replace({ ready }, kStart);
  CHECK_TRUE(directory.OnLeavingAnnounced(id, 7, kStart));
  CHECK_FALSE(directory.OnLeavingAnnounced(id, 7, kStart));
  CHECK_TRUE(directory.Backends().at(id).isDraining);
  directory.Set(ready, kStart + Seconds(1));
  CHECK_TRUE(directory.Backends().at(id).isDraining);
  directory.Replace({ ready }, kStart + Seconds(2));
  CHECK_TRUE(directory.Backends().at(id).isDraining);
  // The entry expires in an outage and is listed again by a store that was restored from a copy.
  directory.OnStoreLost();
  directory.Remove(id, kStart + Seconds(3));
  directory.OnStoreRestored(kStart + Seconds(9));
  directory.Replace({ ready }, kStart + Seconds(9));
  directory.RemoveExpired(kStart + Seconds(30));
  CHECK_TRUE(directory.Backends().at(id).isDraining);
}

// Guards against keeping a restarted server out because of what the process before it said.
MASTICSTEP_TEST("an announcement concerns one process of a server",
                "[dispatch][directory][leaving]")
{
  const BackendServerName id{ "a" };
  BackendDirectory directory;
  directory.Replace({ StartedAt(MakeBackend("a", 1), 7) }, kStart);
  directory.OnLeavingAnnounced(id, 7, kStart);
  directory.Set(StartedAt(MakeBackend("a", 1), 8), kStart + Seconds(1));
  CHECK_FALSE(directory.Backends().at(id).isDraining);
  CHECK_FALSE(directory.OnLeavingAnnounced(id, 7, kStart + Seconds(1)));
  CHECK_FALSE(directory.Backends().at(id).isDraining);

  // Without start times, the end of the entry separates the processes.
  BackendDirectory withoutTimes;
  withoutTimes.Replace({ MakeBackend("a", 1) }, kStart);
  withoutTimes.OnLeavingAnnounced(id, 0, kStart);
  withoutTimes.Set(MakeBackend("a", 1), kStart + Seconds(1));
  CHECK_TRUE(withoutTimes.Backends().at(id).isDraining);
  withoutTimes.Remove(id, kStart + Seconds(2));
  withoutTimes.Set(MakeBackend("a", 1), kStart + Seconds(3));
  CHECK_FALSE(withoutTimes.Backends().at(id).isDraining);
}

// Guards against a faulty server that loses its share for good, and against a server that leaves
// and gets requests because of an outage of the store or a late entry.
MASTICSTEP_TEST("a server that announced that it leaves and stays is used again after a time",
                "[dispatch][directory][leaving]")
{
  const BackendServerName id{ "a" };
  constexpr Duration kLifetimeOfWord = BackendDirectory::kAnnouncementLifetime;
  BackendDirectory directory;
  directory.Replace({ StartedAt(MakeBackend("a", 1), 7) }, kStart);
  directory.OnLeavingAnnounced(id, 7, kStart);
  const Time repeated = kStart + Seconds(30);
  directory.OnLeavingAnnounced(id, 7, repeated);
  CHECK_FALSE(directory.RemoveExpired(kStart + kLifetimeOfWord));
  directory.OnStoreLost();
  const Time back = repeated + kLifetimeOfWord;
  CHECK_FALSE(directory.RemoveExpired(back));
  directory.OnStoreRecovered(back);
  CHECK_FALSE(directory.RemoveExpired(back + kLifetimeOfWord - Milliseconds(1)));
  CHECK_TRUE(directory.RemoveExpired(back + kLifetimeOfWord));
  CHECK_FALSE(directory.Backends().at(id).isDraining);
  directory.Set(StartedAt(MakeBackend("a", 1), 7), back + kLifetimeOfWord);
  CHECK_FALSE(directory.Backends().at(id).isDraining);
}

// Guards against using a server again whose entry says that it drains.
MASTICSTEP_TEST("the end of an announcement does not end what the entry says",
                "[dispatch][directory][leaving]")
{
  const BackendServerName id{ "a" };
  const Time end = kStart + BackendDirectory::kAnnouncementLifetime;
  for (const bool isEntryFirst : { true, false }) {
    BackendDirectory directory;
    directory.Replace({ StartedAt(MakeBackend("a", 1, isEntryFirst), 7) }, kStart);
    directory.OnLeavingAnnounced(id, 7, kStart);
    directory.Set(StartedAt(MakeBackend("a", 1, !isEntryFirst), 7), kStart + Seconds(1));
    directory.RemoveExpired(end);
    CHECK_TRUE(directory.Backends().at(id).isDraining);
  }
}
