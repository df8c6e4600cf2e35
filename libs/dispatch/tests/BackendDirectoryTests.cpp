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
  directory.Set(MakeBackend("a", 1));
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
  directory.Set(next);
  CHECK_FALSE(Contains(directory, "a"));
  CHECK_TRUE(Contains(directory, "b"));
}
