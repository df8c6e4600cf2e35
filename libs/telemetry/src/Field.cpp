#include "masticstep/telemetry/Log.hpp"

#include <utility>

namespace masticstep::telemetry {

Field::Field(std::string aName, std::string aValue)
  : name(std::move(aName))
  , value(std::move(aValue))
{
}

Field::Field(std::string aName, const char* aValue)
  : name(std::move(aName))
  , value(std::string(aValue))
{
}

Field::Field(std::string aName, std::int64_t aValue)
  : name(std::move(aName))
  , value(aValue)
{
}

Field::Field(std::string aName, std::uint64_t aValue)
  : name(std::move(aName))
  , value(static_cast<std::int64_t>(aValue))
{
}

Field::Field(std::string aName, std::uint32_t aValue)
  : name(std::move(aName))
  , value(static_cast<std::int64_t>(aValue))
{
}

Field::Field(std::string aName, int aValue)
  : name(std::move(aName))
  , value(static_cast<std::int64_t>(aValue))
{
}

Field::Field(std::string aName, double aValue)
  : name(std::move(aName))
  , value(aValue)
{
}

Field::Field(std::string aName, bool aValue)
  : name(std::move(aName))
  , value(aValue)
{
}

} // namespace masticstep::telemetry
