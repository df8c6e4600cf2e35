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

// Callbacks of Peering. They are called one at a time on worker threads, in order and without a
// lock held, and may call Peering. Any of them may be empty.
struct PeeringEvents
{
  std::function<void(const MemberRecord&)> onMember; // joined, suspected, removed or left
  std::function<void(const Entry&)> onEntry; // new or newer entry, including this daemon's own
  // A newer configuration has been received completely and each content matches its digest.
  // Configurations published by this daemon are reported as well.
  std::function<void(const ConfigurationBundle&)> onConfiguration;
};

// Peer-to-peer layer of a daemon: membership, shared entries and configuration distribution.
//
//   PeeringSettings settings;                       // from the host's settings file
//   settings.initialIncarnation = wall-clock milliseconds;
//   Result<std::unique_ptr<Peering>, PeeringError> peering =
//     Peering::Create(pool.Context(), settings, events);
//   (*peering)->Start();
//   (*peering)->Publish({ EntryKind::EngineLoad, "draft-1" }, Encode(load)); // at least every 2 s
//   (*peering)->Publish({ EntryKind::Drain, "draft-1" }, "draining");        // "" ends the drain
//   (*peering)->PublishConfiguration(bundle);       // by the daemons that watch the platform
//   (*peering)->Leave();                            // at the start of a graceful shutdown
//   (*peering)->Stop();                             // before the io_context is destroyed
//
// An engine is polled by the daemon for which Role(engine) is Owner and by the Standby, which
// publishes only while the owner's entry is stale. The daemons for which Role("watch") is not
// None watch the platform for configuration changes.
//
// All member functions are thread-safe. The io_context must outlive the object.
class Peering
{
public:
  // Binds the listening address. Fails if the address is in use, if a TLS file is unusable, or
  // if TLS is not configured and the address is not a loopback address.
  static Result<std::unique_ptr<Peering>, PeeringError> Create(boost::asio::io_context& aContext,
                                                               PeeringSettings aSettings,
                                                               PeeringEvents aEvents);
  ~Peering();
  Peering(const Peering&) = delete;
  Peering& operator=(const Peering&) = delete;

  void Start();
  // Notifies all peers that this daemon leaves. Links stay open until Stop, which should be
  // called at least 200 ms later, so that the message has been sent.
  void Leave();
  // Closes all links and the listening socket.
  void Stop();

  // Alive and suspected daemons of all data centres, including this one until it leaves.
  std::vector<MemberRecord> Members() const;
  // Members of this daemon's data centre, for rendezvous hashing.
  std::vector<MemberRecord> LocalMembers() const;
  OwnerRole Role(const std::string& aKey) const;

  // Publishes the next version of an entry owned by this daemon. An engine load may be published
  // after each poll: it is sent only if it changed significantly or is about to become stale
  // (ShouldPublishLoad).
  void Publish(const EntryKey& aKey, std::string aValue);
  std::optional<Entry> Find(const EntryKey& aKey) const;
  std::vector<Entry> Entries(EntryKind aKind) const;

  // Publishes a configuration generation to all peers. Ignored unless it is newer than the
  // current one.
  void PublishConfiguration(ConfigurationBundle aBundle);
  ConfigurationBundle Configuration() const;

  // Sets the hosts listed by the platform; the list may be out of date.
  void SetContacts(const std::vector<Contact>& aContacts);
  // Reloads the TLS files immediately; they are also checked every minute. Only links opened
  // afterwards use the new files. If the files are unusable, an error is logged and the
  // previous credentials stay in use.
  void ReloadCertificates();

  // Address advertised to peers, with the port that was bound.
  std::string Address() const;
  PeeringCounters Counters() const;

private:
  class Core;
  explicit Peering(std::shared_ptr<Core> aCore);

  std::shared_ptr<Core> mCore;
};

} // namespace masticstep
