#pragma once

#include "masticstep/base/Time.hpp"
#include "masticstep/membership/MemberRecord.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace masticstep {

// Records of all known daemons, merged by Supersedes.
class MemberTable
{
public:
  struct Row
  {
    MemberRecord record;
    Time changed;
  };

  // Stores the record if it is new or supersedes the known one; returns whether it did.
  bool Merge(const MemberRecord& aRecord, Time aNow);
  // Drops Dead and Left members that did not change since the time.
  void Forget(Time aBefore);

  const Row* Find(const HostName& aName) const;
  const Row* FindByAddress(const std::string& aAddress) const;
  const std::map<HostName, Row>& Rows() const { return mRows; }
  std::vector<MemberRecord> Present() const;
  std::vector<MemberRecord> PresentIn(const DataCentreName& aDataCentre) const;
  std::vector<MemberRecord> All() const;
  // Equal for equal sets of records; suspicion is left out because it lasts only seconds.
  std::uint64_t Digest() const { return mDigest; }
  // Grows with each change of a record, suspicion included.
  std::uint64_t Changes() const { return mChanges; }

private:
  std::map<HostName, Row> mRows;
  std::uint64_t mDigest = 0;
  std::uint64_t mChanges = 0;
};

} // namespace masticstep
