#pragma once

#include "masticstep/base/Result.hpp"
#include "masticstep/membership/MemberRecord.hpp"
#include "masticstep/spread/ConfigurationSpread.hpp"
#include "masticstep/spread/EntryTable.hpp"
#include "masticstep/spread/SpreadMessage.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticstep {

constexpr Duration kDeltaInterval = Milliseconds(500);
constexpr Duration kDigestInterval = Seconds(10);
// Minimum interval between grafts for missing entries of the same owner.
constexpr Duration kGraftInterval = Seconds(5);

struct SpreadSettings
{
  HostName self;
  DataCentreName dataCentre;
  // Lowest version that this process publishes. The caller passes wall-clock milliseconds, so that
  // an entry published before the first exchange still replaces that of the previous process.
  std::uint64_t firstVersion = 1;
  // If false, each entry is sent on every link between neighbours (flooding). Used as a benchmark
  // baseline.
  bool isPruning = true;
};

struct SpreadActions
{
  std::vector<OutgoingSpreadMessage> sends;
  std::vector<Entry> changes; // entries that were stored, including own ones
  std::optional<ConfigurationBundle> configuration;

  bool operator==(const SpreadActions&) const = default;
};

struct SpreadError
{
  std::string message;

  bool operator==(const SpreadError&) const = default;
};

// Replicates versioned entries over a graph of neighbours: the successors and predecessors of a
// daemon in two hashed rings of its data centre, and its links to other data centres. Deltas are
// sent to the neighbours every kDeltaInterval, urgent entries immediately. Periodic entries follow
// a broadcast tree per owner, as in Plumtree: a daemon that receives a duplicate prunes the owner
// on the link of the later sender, and grafts it on all links again when entries of the owner are
// missing. Non-periodic entries are sent on every link and repaired by comparing digests every
// kDigestInterval.
class Spread
{
public:
  static Result<Spread, SpreadError> Create(SpreadSettings aSettings, Time aNow);

  // aMembers: present members of the data centre. aRemote: links to other data centres.
  SpreadActions OnView(const std::vector<MemberRecord>& aMembers,
                       const std::vector<MemberRecord>& aRemote, Time aNow);
  // Reports that the link to the address was replaced, so messages sent on it may be lost.
  void OnLinkReset(const std::string& aAddress);
  SpreadActions OnMessage(const std::string& aFrom, const SpreadMessage& aMessage, Time aNow);
  SpreadActions OnMessage(const std::string& aFrom, const ContentMessage& aMessage, Time aNow);
  SpreadActions OnTime(Time aNow);
  // Publishes the next version of the entry. An engine load that this daemon published before is
  // only published again if ShouldPublishLoad.
  SpreadActions Publish(const EntryKey& aKey, std::string aValue, Time aNow);
  SpreadActions PublishConfiguration(ConfigurationBundle aBundle, Time aNow);

  std::optional<Time> NextWakeUp() const;
  const EntryTable& Table() const { return mTable; }
  const ConfigurationBundle& Configuration() const { return mConfiguration.Current(); }

private:
  // Version that a neighbour has, as sent to or received from it.
  struct KnownVersion
  {
    std::uint64_t version = 0;
    std::uint32_t ownerHash = 0;
  };
  struct Neighbour
  {
    bool isRemote = false;
    bool needsExchange = true;
    bool hasUrgentPending = false;                         // pending contains an urgent entry
    std::set<std::uint64_t> pending;                       // hashes of keys to send
    std::unordered_map<std::uint64_t, KnownVersion> known; // by key hash
    std::set<std::uint64_t> prunedByPeer;  // owners that the neighbour gets on another link
    std::set<std::uint64_t> prunedLocally; // owners that the neighbour was asked to leave out
    std::vector<std::uint64_t> prunesToSend;
  };

  Spread(SpreadSettings aSettings, Time aNow);

  void OnDelta(const std::string& aFrom, const SpreadMessage& aMessage, Time aNow,
               SpreadActions& aActions);
  void OnExchange(const std::string& aFrom, const SpreadMessage& aMessage, Time aNow,
                  SpreadActions& aActions);
  void OnRequest(const std::string& aFrom, const SpreadMessage& aMessage, Time aNow,
                 SpreadActions& aActions);
  void OnDigest(const std::string& aFrom, const SpreadMessage& aMessage, SpreadActions& aActions);
  void OnGraft(const std::string& aFrom, const SpreadMessage& aMessage);
  void AcceptEntry(const std::string& aFrom, const Entry& aEntry, Time aNow,
                   SpreadActions& aActions);
  void Enqueue(const EntryTable::Row& aRow, std::uint64_t aKeyHash, bool aHasNewValue);
  void Prune(const std::string& aFrom, const EntryTable::Row& aRow);
  void Flush(const std::string& aAddress, Neighbour& aNeighbour, Time aNow,
             SpreadActions& aActions);
  bool AppendEntry(Neighbour& aNeighbour, std::uint64_t aKeyHash, Time aNow,
                   SpreadMessage& aMessage) const;
  void SendExchange(const std::string& aAddress, SpreadActions& aActions) const;
  void SendFullEntries(const std::string& aAddress, const std::vector<std::uint64_t>& aHashes,
                       Time aNow, SpreadActions& aActions);
  void SendDigests(SpreadActions& aActions);
  void GraftMissingOwners(Time aNow, SpreadActions& aActions);
  std::vector<std::uint64_t> ComputeDigests(bool aIsRemote) const;
  bool IsRemote(const std::string& aAddress) const;
  void Send(const std::string& aAddress, SpreadMessage aMessage, SpreadActions& aActions) const;
  void MergeActions(ConfigurationActions aFrom, SpreadActions& aInto) const;
  SpreadActions FinalizeActions(SpreadActions aActions, Time aNow);

  SpreadSettings mSettings;
  EntryTable mTable;
  ConfigurationSpread mConfiguration;
  std::map<std::string, Neighbour> mNeighbours;
  std::set<std::string> mRemoteAddresses; // all members of other data centres that were ever linked
  std::map<std::uint64_t, Time> mNextGraft;          // by owner hash
  std::vector<OutgoingSpreadMessage> mPendingGrafts; // grafts to send with the next actions
  bool mIsRemoteDelta = false; // deltas to other data centres are sent every second interval
  Time mNextDelta;
  Time mNextDigest;
};

} // namespace masticstep
