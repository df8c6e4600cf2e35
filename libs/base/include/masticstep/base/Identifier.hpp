#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace masticstep {

// Name of one kind of thing. The tag keeps names of different kinds from being mixed up.
template <class Tag>
class Identifier
{
public:
  Identifier() = default;
  explicit Identifier(std::string aText)
    : mText(std::move(aText))
  {
  }

  const std::string& Text() const { return mText; }
  bool IsEmpty() const { return mText.empty(); }
  std::strong_ordering operator<=>(const Identifier&) const = default;
  bool operator==(const Identifier&) const = default;

private:
  std::string mText;
};

template <class Tag>
std::ostream& operator<<(std::ostream& aStream, const Identifier<Tag>& aIdentifier)
{
  return aStream << aIdentifier.Text();
}

using HostName = Identifier<struct HostTag>;
using RegionName = Identifier<struct RegionTag>;
using DataCentreName = Identifier<struct DataCentreTag>;
using ServiceName = Identifier<struct ServiceTag>;
using ClassName = Identifier<struct ClassTag>;
using AccountName = Identifier<struct AccountTag>;
using ModelName = Identifier<struct ModelTag>;
using BackendServerName = Identifier<struct BackendServerTag>;
// An engine is the kind of backend server that serves a model.
using EngineId = BackendServerName;
// Version of the software that a backend server runs, not of the weights that it serves.
using SoftwareVersion = Identifier<struct SoftwareVersionTag>;

// Number of one request within one daemon process.
struct RequestId
{
  std::uint64_t value = 0;

  std::strong_ordering operator<=>(const RequestId&) const = default;
};

inline std::ostream& operator<<(std::ostream& aStream, RequestId aId)
{
  return aStream << aId.value;
}

} // namespace masticstep

template <class Tag>
struct std::hash<masticstep::Identifier<Tag>>
{
  std::size_t operator()(const masticstep::Identifier<Tag>& aIdentifier) const
  {
    return std::hash<std::string>{}(aIdentifier.Text());
  }
};

template <>
struct std::hash<masticstep::RequestId>
{
  std::size_t operator()(masticstep::RequestId aId) const
  {
    return std::hash<std::uint64_t>{}(aId.value);
  }
};
