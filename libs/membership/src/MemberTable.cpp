#include "masticstep/membership/MemberTable.hpp"

#include "masticstep/base/Hash.hpp"

#include <iterator>

namespace masticstep {

namespace {

std::uint64_t RecordDigest(const MemberRecord& aRecord)
{
  return IsPresent(aRecord.state) ? Hash64(aRecord.name.Text(), aRecord.incarnation) : 0;
}

} // namespace

bool MemberTable::Merge(const MemberRecord& aRecord, Time aNow)
{
  const std::map<HostName, Row>::iterator it = mRows.find(aRecord.name);
  if (it == mRows.end()) {
    mRows.emplace(aRecord.name, Row{ aRecord, aNow });
    mDigest += RecordDigest(aRecord);
    ++mChangeCount;
    return true;
  }
  if (!Supersedes(aRecord, it->second.record)) {
    return false;
  }
  mDigest += RecordDigest(aRecord) - RecordDigest(it->second.record);
  it->second = Row{ aRecord, aNow };
  ++mChangeCount;
  return true;
}

void MemberTable::RemoveDeparted(Time aCutoff)
{
  std::erase_if(mRows, [aCutoff](const std::pair<const HostName, Row>& aRow) {
    return !IsPresent(aRow.second.record.state) && aRow.second.changedAt < aCutoff;
  });
}

const MemberTable::Row* MemberTable::Find(const HostName& aName) const
{
  const std::map<HostName, Row>::const_iterator it = mRows.find(aName);
  return it == mRows.end() ? nullptr : &it->second;
}

const MemberTable::Row* MemberTable::FindByAddress(const std::string& aAddress) const
{
  for (const std::pair<const HostName, Row>& row : mRows) {
    if (row.second.record.address == aAddress && IsPresent(row.second.record.state)) {
      return &row.second;
    }
  }
  return nullptr;
}

std::vector<MemberRecord> MemberTable::Present() const
{
  std::vector<MemberRecord> members;
  for (const std::pair<const HostName, Row>& row : mRows) {
    if (IsPresent(row.second.record.state)) {
      members.push_back(row.second.record);
    }
  }
  return members;
}

std::vector<MemberRecord> MemberTable::PresentIn(const DataCentreName& aDataCentre) const
{
  std::vector<MemberRecord> members;
  for (const std::pair<const HostName, Row>& row : mRows) {
    if (IsPresent(row.second.record.state) && row.second.record.dataCentre == aDataCentre) {
      members.push_back(row.second.record);
    }
  }
  return members;
}

std::vector<MemberRecord> MemberTable::All() const
{
  std::vector<MemberRecord> members;
  for (const std::pair<const HostName, Row>& row : mRows) {
    members.push_back(row.second.record);
  }
  return members;
}

} // namespace masticstep
