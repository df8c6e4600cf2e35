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

bool Has(const BackendDirectory& aDirectory, const std::string& aId)
{
  return aDirectory.Backends().contains(BackendServerName{ aId });
}

} // namespace

MASTICSTEP_TEST("a removed backend server is gone at once while the store is good",
                "[dispatch][directory]")
{
  BackendDirectory directory;
  CHECK_FALSE(directory.IsLoaded());
  directory.Replace({ MakeBackend("a", 1), MakeBackend("b", 2) }, kStart);
  CHECK_TRUE(directory.IsLoaded());
  directory.Remove(BackendServerName{ "a" }, kStart);
  CHECK_FALSE(Has(directory, "a"));
  CHECK_TRUE(Has(directory, "b"));
}

// Guards against losing live backend servers whose entries lapsed while the store was away.
MASTICSTEP_TEST("an entry that lapsed during an outage is held until the grace time ends",
                "[dispatch][directory][failure]")
{
  BackendDirectory directory;
  directory.Replace({ MakeBackend("a", 1), MakeBackend("b", 2) }, kStart);
  directory.OnStoreLost();
  const Time back = kStart + Seconds(8);
  directory.OnStoreRecovered(back);
  directory.Replace({}, back);
  CHECK_TRUE(Has(directory, "a"));
  directory.Set(MakeBackend("a", 1));
  CHECK_FALSE(directory.RemoveExpired(back + Milliseconds(1900)));
  CHECK_TRUE(directory.RemoveExpired(back + BackendDirectory::kReregistrationGrace));
  CHECK_TRUE(Has(directory, "a"));
  CHECK_FALSE(Has(directory, "b"));
}

// Guards against sending to a backend server that had said that it leaves.
MASTICSTEP_TEST("a draining backend server is not held after an outage",
                "[dispatch][directory][failure]")
{
  BackendDirectory directory;
  directory.Replace({ MakeBackend("a", 1, true) }, kStart);
  directory.OnStoreLost();
  directory.OnStoreRecovered(kStart + Seconds(5));
  directory.Remove(BackendServerName{ "a" }, kStart + Seconds(5));
  CHECK_FALSE(Has(directory, "a"));
}

// Guards against requests to the earlier holder of an address that was given to another one.
MASTICSTEP_TEST("a new backend server at an address replaces the earlier one",
                "[dispatch][directory]")
{
  BackendDirectory directory;
  directory.Replace({ MakeBackend("a", 1) }, kStart);
  Backend next = MakeBackend("b", 1);
  next.startedAtMs = 5;
  directory.Set(next);
  CHECK_FALSE(Has(directory, "a"));
  CHECK_TRUE(Has(directory, "b"));
}
