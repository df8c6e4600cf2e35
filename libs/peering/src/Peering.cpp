#include "masticstep/peering/Peering.hpp"

#include "PeeringCore.hpp"
#include "PeeringCoreApply.hpp"
#include "masticstep/net/Clock.hpp"

#include <utility>

namespace masticstep {

Peering::Peering(std::shared_ptr<Core> aCore)
  : mCore(std::move(aCore))
{
}

Peering::~Peering()
{
  Stop();
}

Result<std::unique_ptr<Peering>, PeeringError> Peering::Create(boost::asio::io_context& aContext,
                                                               PeeringSettings aSettings,
                                                               PeeringEvents aEvents)
{
  std::shared_ptr<Core> core =
    std::make_shared<Core>(aContext, std::move(aSettings), std::move(aEvents));
  const Result<void, PeeringError> opened = core->Open();
  if (!opened) {
    return Failure(opened.error());
  }
  return std::unique_ptr<Peering>(new Peering(std::move(core)));
}

void Peering::Start()
{
  mCore->Start();
}

void Peering::Leave()
{
  mCore->Apply(
    [](PeerStateMachine& aStateMachine, Time aNow) { return aStateMachine.Leave(aNow); });
}

void Peering::Stop()
{
  mCore->Stop();
}

std::vector<MemberRecord> Peering::Members() const
{
  return mCore->Read(
    [](const PeerStateMachine& aStateMachine) { return aStateMachine.Members().Members(); });
}

std::vector<MemberRecord> Peering::LocalMembers() const
{
  return mCore->Read([](const PeerStateMachine& aStateMachine) {
    return aStateMachine.Members().Table().PresentIn(aStateMachine.Members().Self().dataCentre);
  });
}

OwnerRole Peering::Role(const std::string& aKey) const
{
  return mCore->Read([&aKey](const PeerStateMachine& aStateMachine) {
    const MemberRecord self = aStateMachine.Members().Self();
    return RoleFor(aStateMachine.Members().Table().PresentIn(self.dataCentre), aKey, self.name);
  });
}

void Peering::Publish(const EntryKey& aKey, std::string aValue)
{
  mCore->Apply([&aKey, &aValue](PeerStateMachine& aStateMachine, Time aNow) {
    return aStateMachine.Publish(aKey, std::move(aValue), aNow);
  });
}

std::optional<Entry> Peering::Find(const EntryKey& aKey) const
{
  return mCore->Read([&aKey](const PeerStateMachine& aStateMachine) {
    return aStateMachine.Entries().Table().Get(aKey, net::Now());
  });
}

std::vector<Entry> Peering::Entries(EntryKind aKind) const
{
  return mCore->Read([aKind](const PeerStateMachine& aStateMachine) {
    return aStateMachine.Entries().Table().OfKind(aKind, net::Now());
  });
}

void Peering::PublishConfiguration(ConfigurationBundle aBundle)
{
  mCore->Apply([&aBundle](PeerStateMachine& aStateMachine, Time aNow) {
    return aStateMachine.PublishConfiguration(std::move(aBundle), aNow);
  });
}

ConfigurationBundle Peering::Configuration() const
{
  return mCore->Read(
    [](const PeerStateMachine& aStateMachine) { return aStateMachine.Entries().Configuration(); });
}

void Peering::SetContacts(const std::vector<Contact>& aContacts)
{
  mCore->Apply([&aContacts](PeerStateMachine& aStateMachine, Time aNow) {
    return aStateMachine.OnContacts(aContacts, aNow);
  });
}

void Peering::ReloadCertificates()
{
  mCore->ReloadCertificates();
}

std::string Peering::Address() const
{
  return mCore->Address();
}

PeeringCounters Peering::Counters() const
{
  return mCore->Counters();
}

} // namespace masticstep
