#pragma once

#include "masticstep/membership/MembershipMessage.hpp"
#include "masticstep/spread/SpreadMessage.hpp"
#include "masticstep/wire/Message.hpp"

#include <optional>
#include <variant>

namespace masticstep {

// Any message that two daemons exchange after their Hello.
using PeerMessage = std::variant<MembershipMessage, SpreadMessage, ContentMessage>;

wire::Message ToWire(const PeerMessage& aMessage);

// Returns nullopt for a Hello and for message kinds unknown to this version. Records with an
// unknown state and entries of an unknown kind are skipped, so that daemons of a newer minor
// version can work with older ones.
std::optional<PeerMessage> FromWire(const wire::Message& aMessage);

} // namespace masticstep
