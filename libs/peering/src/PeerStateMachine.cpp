#include "masticstep/peering/PeerStateMachine.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace masticstep {

PeerStateMachine::PeerStateMachine(Membership aMembership, Spread aSpread)
  : mMembership(std::move(aMembership))
  , mSpread(std::move(aSpread))
{
}

Result<PeerStateMachine, MembershipError> PeerStateMachine::Create(MembershipSettings aMembership,
                                                                   SpreadSettings aSpread,
                                                                   Time aNow)
{
  Result<Membership, MembershipError> membership = Membership::Create(std::move(aMembership));
  if (!membership) {
    return Failure(membership.error());
  }
  Result<Spread, SpreadError> spread = Spread::Create(std::move(aSpread), aNow);
  if (!spread) {
    return Failure(MembershipError{ spread.error().message });
  }
  return PeerStateMachine(*std::move(membership), *std::move(spread));
}

PeerActions PeerStateMachine::Start(Time aNow)
{
  return ToPeerActions(mMembership.Start(aNow), aNow);
}

PeerActions PeerStateMachine::OnMessage(const std::string& aFrom, const PeerMessage& aMessage,
                                        Time aNow)
{
  if (const MembershipMessage* message = std::get_if<MembershipMessage>(&aMessage)) {
    return ToPeerActions(mMembership.OnMessage(aFrom, *message, aNow), aNow);
  }
  if (const SpreadMessage* message = std::get_if<SpreadMessage>(&aMessage)) {
    return ToPeerActions(mSpread.OnMessage(aFrom, *message, aNow));
  }
  return ToPeerActions(mSpread.OnMessage(aFrom, std::get<ContentMessage>(aMessage), aNow));
}

PeerActions PeerStateMachine::OnTime(Time aNow)
{
  PeerActions actions;
  const std::optional<Time> membershipDue = mMembership.NextWakeUp();
  if (membershipDue && *membershipDue <= aNow) {
    actions = ToPeerActions(mMembership.OnTime(aNow), aNow);
  }
  if (*mSpread.NextWakeUp() <= aNow) {
    PeerActions more = ToPeerActions(mSpread.OnTime(aNow));
    std::move(more.sends.begin(), more.sends.end(), std::back_inserter(actions.sends));
    std::move(more.entries.begin(), more.entries.end(), std::back_inserter(actions.entries));
    actions.configuration = std::move(more.configuration);
  }
  return actions;
}

PeerActions PeerStateMachine::OnContacts(const std::vector<Contact>& aContacts, Time aNow)
{
  return ToPeerActions(mMembership.OnContacts(aContacts, aNow), aNow);
}

PeerActions PeerStateMachine::OnLinkFailed(const std::string& aAddress, Time aNow)
{
  mSpread.OnLinkReset(aAddress);
  return ToPeerActions(mMembership.OnLinkFailed(aAddress, aNow), aNow);
}

PeerActions PeerStateMachine::Leave(Time aNow)
{
  return ToPeerActions(mMembership.Leave(aNow), aNow);
}

PeerActions PeerStateMachine::Publish(const EntryKey& aKey, std::string aValue, Time aNow)
{
  return ToPeerActions(mSpread.Publish(aKey, std::move(aValue), aNow));
}

PeerActions PeerStateMachine::PublishConfiguration(ConfigurationBundle aBundle, Time aNow)
{
  return ToPeerActions(mSpread.PublishConfiguration(std::move(aBundle), aNow));
}

std::optional<Time> PeerStateMachine::NextWakeUp() const
{
  const std::optional<Time> spread = mSpread.NextWakeUp();
  const std::optional<Time> membership = mMembership.NextWakeUp();
  return membership ? std::min(*membership, *spread) : spread;
}

PeerActions PeerStateMachine::ToPeerActions(MembershipActions aActions, Time aNow)
{
  PeerActions actions;
  for (OutgoingMembershipMessage& send : aActions.sends) {
    actions.sends.push_back({ std::move(send.address), std::move(send.message) });
  }
  actions.members = std::move(aActions.changes);
  if (!actions.members.empty()) {
    const DataCentreName dataCentre = mMembership.Self().dataCentre;
    PeerActions spread = ToPeerActions(
      mSpread.OnView(mMembership.Table().PresentIn(dataCentre), mMembership.RemoteLinks(), aNow));
    std::move(spread.sends.begin(), spread.sends.end(), std::back_inserter(actions.sends));
  }
  return actions;
}

PeerActions PeerStateMachine::ToPeerActions(SpreadActions aActions)
{
  PeerActions actions;
  for (OutgoingSpreadMessage& send : aActions.sends) {
    std::visit(
      [&actions, &send](auto& aMessage) {
        actions.sends.push_back({ std::move(send.address), std::move(aMessage) });
      },
      send.message);
  }
  actions.entries = std::move(aActions.changes);
  actions.configuration = std::move(aActions.configuration);
  return actions;
}

} // namespace masticstep
