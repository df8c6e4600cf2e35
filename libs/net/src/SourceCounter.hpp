#pragma once

#include <map>
#include <mutex>
#include <string>

namespace masticstep::net {

// Counts the open connections of each source address.
class SourceCounter
{
public:
  explicit SourceCounter(std::size_t aLimit);

  // Returns false, without counting, if the source is at its limit.
  bool TryAdd(const std::string& aSource);
  void Remove(const std::string& aSource);
  std::size_t Total() const;

private:
  const std::size_t mLimit;
  mutable std::mutex mMutex;
  std::map<std::string, std::size_t> mCounts;
  std::size_t mTotal = 0;
};

} // namespace masticstep::net
