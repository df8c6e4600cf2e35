#pragma once

#include "masticstep/membership/MembershipMessage.hpp"
#include "masticstep/spread/SpreadMessage.hpp"
#include "masticstep/wire/Message.hpp"

#include <optional>
#include <variant>

namespace masticstep {

// Everything that two daemons tell each other after their Hello.
using PeerMessage = std::variant<MembershipMessage, SpreadMessage, ContentMessage>;

wire::Message ToWire(const PeerMessage& aMessage);

// Returns nothing for a Hello and for kinds that this version does not know. Records and entries
// with unknown states or kinds are left out, so that a newer minor version does not disturb an
// older one.
std::optional<PeerMessage> FromWire(const wire::Message& aMessage);

} // namespace masticstep
