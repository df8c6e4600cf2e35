#pragma once

#include "masticstep/membership/MemberRecord.hpp"
#include "masticstep/membership/MembershipSettings.hpp"
#include "masticstep/peering/PeeringSettings.hpp"
#include "masticstep/spread/ConfigurationBundle.hpp"
#include "masticstep/spread/Entry.hpp"
#include "masticstep/spread/Ownership.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace masticstep {

// What the daemon wants to hear. The functions are called one at a time on workers, in order and
// without a lock held; they may call Peering. Any of them may be empty.
struct PeeringEvents
{
  std::function<void(const MemberRecord&)> onMember; // joined, suspected, removed or left
  std::function<void(const Entry&)> onEntry;         // new or newer entry, own ones included
  // A newer configuration is here in whole, each content checked against its digest. Own
  // publications are reported as well.
  std::function<void(const ConfigurationBundle&)> onConfiguration;
};

// The daemon's links to its peers: members, shared entries and configuration.
//
//   PeeringSettings settings;                       // from the host's settings file
//   settings.initialIncarnation = wall-clock milliseconds;
//   Result<std::unique_ptr<Peering>, PeeringError> peering =
//     Peering::Create(pool.Context(), settings, events);
//   (*peering)->Start();
//   (*peering)->Publish({ EntryKind::EngineLoad, "draft-1" }, Encode(load)); // at least every 2 s
//   (*peering)->Publish({ EntryKind::Drain, "draft-1" }, "draining");        // "" ends the drain
//   (*peering)->PublishConfiguration(bundle);       // by the watchers of the platform
//   (*peering)->Leave();                            // at the start of a graceful shutdown
//   (*peering)->Stop();                             // before the io_context ends
//
// An engine is polled by the daemon for which Role(engine) is Owner, and by the Standby, which
// publishes only while the owner's entry is stale. The configuration is watched at the platform by
// the daemons for which Role("watch") is not None.
//
// All members may be called from any thread. The io_context must outlive the object.
class Peering
{
public:
  // Binds the address. Fails if it is taken, if a TLS file is unusable, or if TLS is absent and the
  // address is not a loopback address.
  static Result<std::unique_ptr<Peering>, PeeringError> Create(boost::asio::io_context& aContext,
                                                               PeeringSettings aSettings,
                                                               PeeringEvents aEvents);
  ~Peering();
  Peering(const Peering&) = delete;
  Peering& operator=(const Peering&) = delete;

  void Start();
  // Tells all peers that this daemon leaves. Links stay open until Stop, which should follow no
  // sooner than 200 ms later, so that the message is out.
  void Leave();
  // Closes all links and the listening socket.
  void Stop();

  // Alive and suspected daemons of all data centres, this one included until it leaves.
  std::vector<MemberRecord> Members() const;
  // Members of this daemon's data centre, for rendezvous hashing.
  std::vector<MemberRecord> LocalMembers() const;
  OwnerRole Role(const std::string& aKey) const;

  // Publishes the next version of an entry in this daemon's name. An engine load may be published
  // after each poll: it is sent only if it changed much or is about to become old
  // (ShouldPublishLoad).
  void Publish(const EntryKey& aKey, std::string aValue);
  std::optional<Entry> Find(const EntryKey& aKey) const;
  std::vector<Entry> Entries(EntryKind aKind) const;

  // Offers a generation to all peers. Ignored unless it is newer than the known one.
  void PublishConfiguration(ConfigurationBundle aBundle);
  ConfigurationBundle Configuration() const;

  // Hosts of the platform's list, which may lag.
  void SetContacts(const std::vector<Contact>& aContacts);
  // Reads the TLS files again now; they are also read every minute. Links opened later use them.
  // Files that are not usable are logged, and the earlier ones stay in use.
  void ReloadCertificates();

  // Address that peers are told, with the port that was taken.
  std::string Address() const;
  PeeringCounters Counters() const;

private:
  class Core;
  explicit Peering(std::shared_ptr<Core> aCore);

  std::shared_ptr<Core> mCore;
};

} // namespace masticstep
