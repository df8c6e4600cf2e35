#pragma once

#include "masticstep/base/Time.hpp"
#include "masticstep/membership/MemberRecord.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace masticstep {

// Membership view: the latest record of each known daemon, as decided by Supersedes.
class MemberTable
{
public:
  struct Row
  {
    MemberRecord record;
    Time changedAt;
  };

  // Stores the record if it is new or supersedes the stored one. Returns whether it was stored.
  bool Merge(const MemberRecord& aRecord, Time aNow);
  // Removes Dead and Left members whose record was last changed before the cutoff.
  void RemoveDeparted(Time aCutoff);

  const Row* Find(const HostName& aName) const;
  const Row* FindByAddress(const std::string& aAddress) const;
  const std::map<HostName, Row>& Rows() const { return mRows; }
  std::vector<MemberRecord> Present() const;
  std::vector<MemberRecord> PresentIn(const DataCentreName& aDataCentre) const;
  std::vector<MemberRecord> All() const;
  // Hash of the present members and their incarnations, equal for equal views. Suspicion is not
  // included because it lasts only a few seconds.
  std::uint64_t Digest() const { return mDigest; }
  // Number of records stored so far, including changes to and from Suspect.
  std::uint64_t ChangeCount() const { return mChangeCount; }

private:
  std::map<HostName, Row> mRows;
  std::uint64_t mDigest = 0;
  std::uint64_t mChangeCount = 0;
};

} // namespace masticstep
