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
// Missing entries of one owner are asked for at most this often.
constexpr Duration kGraftInterval = Seconds(5);

struct SpreadSettings
{
  HostName self;
  DataCentreName dataCentre;
  // Lowest version that this process publishes. The shell passes wall-clock milliseconds, so that
  // an entry published before the first exchange still replaces those of the previous process.
  std::uint64_t firstVersion = 1;
  // Without pruning, each entry crosses every link between neighbours (a baseline of the
  // benchmark).
  bool isPruning = true;
};

struct SpreadActions
{
  std::vector<OutgoingSpreadMessage> sends;
  std::vector<Entry> changes; // entries that are new or newer here, own ones included
  std::optional<ConfigurationBundle> configuration;

  bool operator==(const SpreadActions&) const = default;
};

struct SpreadError
{
  std::string message;

  bool operator==(const SpreadError&) const = default;
};

// Spreads versioned entries over a graph of neighbours: the successors and predecessors of a daemon
// in two hashed rings of its data centre, and its links to other data centres. Deltas go to the
// neighbours every kDeltaInterval and urgent entries at once. Periodic entries settle on one path
// per owner: a daemon that gets the same entry twice tells the later sender to leave that owner
// out, and asks all neighbours again when the owner's entries go missing. Lasting entries use every
// link and are compared by digest every kDigestInterval.
class Spread
{
public:
  static Result<Spread, SpreadError> Create(SpreadSettings aSettings, Time aNow);

  // aMembers: present members of the data centre. aRemote: links to other data centres.
  SpreadActions OnView(const std::vector<MemberRecord>& aMembers,
                       const std::vector<MemberRecord>& aRemote, Time aNow);
  // The link to the address was replaced, so what was sent on it may be lost.
  void OnLinkReset(const std::string& aAddress);
  SpreadActions OnMessage(const std::string& aFrom, const SpreadMessage& aMessage, Time aNow);
  SpreadActions OnMessage(const std::string& aFrom, const ContentMessage& aMessage, Time aNow);
  SpreadActions OnTime(Time aNow);
  // Publishes the next version. An engine load is left out unless ShouldPublishLoad.
  SpreadActions Publish(const EntryKey& aKey, std::string aValue, Time aNow);
  SpreadActions PublishConfiguration(ConfigurationBundle aBundle, Time aNow);

  std::optional<Time> NextWakeUp() const;
  const EntryTable& Table() const { return mTable; }
  const ConfigurationBundle& Configuration() const { return mConfiguration.Current(); }

private:
  struct Sent
  {
    std::uint64_t version = 0;
    std::uint32_t ownerHash = 0;
  };
  struct Neighbour
  {
    bool isRemote = false;
    bool needsExchange = true;
    bool isUrgent = false;                         // pending holds an urgent entry
    std::set<std::uint64_t> pending;               // keys to send
    std::unordered_map<std::uint64_t, Sent> known; // versions that the neighbour has
    std::set<std::uint64_t> prunedByPeer;          // owners that it gets from elsewhere
    std::set<std::uint64_t> prunedHere;            // owners that it must leave out
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
  void Accept(const std::string& aFrom, const Entry& aEntry, Time aNow, SpreadActions& aActions);
  void Enqueue(const EntryTable::Row& aRow, std::uint64_t aKeyHash, bool aIsNews);
  void Prune(const std::string& aFrom, const EntryTable::Row& aRow);
  void Flush(const std::string& aAddress, Neighbour& aNeighbour, Time aNow,
             SpreadActions& aActions);
  bool AppendEntry(Neighbour& aNeighbour, std::uint64_t aKeyHash, Time aNow,
                   SpreadMessage& aMessage) const;
  void SendExchange(const std::string& aAddress, SpreadActions& aActions) const;
  void SendFull(const std::string& aAddress, const std::vector<std::uint64_t>& aHashes, Time aNow,
                SpreadActions& aActions);
  void SendDigests(SpreadActions& aActions);
  void AskForMissing(Time aNow, SpreadActions& aActions);
  std::vector<std::uint64_t> Digests(bool aIsRemote) const;
  bool IsRemote(const std::string& aAddress) const;
  void Send(const std::string& aAddress, SpreadMessage aMessage, SpreadActions& aActions) const;
  void Merge(ConfigurationActions aFrom, SpreadActions& aInto) const;
  SpreadActions Finish(SpreadActions aActions, Time aNow);

  SpreadSettings mSettings;
  EntryTable mTable;
  ConfigurationSpread mConfiguration;
  std::map<std::string, Neighbour> mNeighbours;
  std::set<std::string> mRemoteAddresses;     // members of other data centres that were ever linked
  std::map<std::uint64_t, Time> mNextGraft;   // by owner hash
  std::vector<OutgoingSpreadMessage> mGrafts; // to send with the next actions
  bool mIsRemoteDelta = false; // deltas to other data centres go with every second one
  Time mNextDelta;
  Time mNextDigest;
};

} // namespace masticstep
