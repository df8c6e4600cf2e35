#pragma once

#include "masticstep/base/Time.hpp"
#include "masticstep/platform/PlatformReply.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace masticstep::relay {

// Finds objects of the platform's store that nobody keeps any more, since their versions have not
// changed for some time. The time is measured by the clock of the reader, since hosts share none.
//
// Performs no I/O.
class UnchangedObjects
{
public:
  // Objects whose keys start with aLocalPrefix count as unkept after kTime, others later, so that
  // their own data centre deletes them first.
  static constexpr Duration kTime = Seconds(45);
  static constexpr Duration kTimeElsewhere = Seconds(90);

  // Records a complete list of the objects.
  void OnListed(const std::vector<platform::ObjectChange>& aObjects, Time aNow);
  std::vector<std::pair<platform::ObjectKey, platform::Version>> Find(
    const std::string& aLocalPrefix, Time aNow) const;

private:
  struct Object
  {
    platform::Version version;
    Time since{};
  };

  std::map<platform::ObjectKey, Object> mObjects;
};

} // namespace masticstep::relay
