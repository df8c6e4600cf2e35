#pragma once

#include "masticstep/base/Fault.hpp"
#include "masticstep/base/Result.hpp"
#include "masticstep/config/ClientAccount.hpp"
#include "masticstep/config/Service.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace masticstep {

// One published file. The suffix of its name determines its kind: .service.json or .accounts.json.
struct ConfigurationFile
{
  std::string name;
  std::string text;

  auto operator<=>(const ConfigurationFile&) const = default;
};

// Immutable configuration of one generation: all services and client accounts.
class Configuration
{
public:
  // Parses and validates all files together. The error lists all faults of all files, including
  // references to unknown services and duplicate names.
  static Result<Configuration, Faults> Create(std::uint64_t aGeneration,
                                              const std::vector<ConfigurationFile>& aFiles);

  std::uint64_t Generation() const { return mGeneration; }
  const std::vector<Service>& Services() const { return mServices; }
  const std::vector<ClientAccount>& Accounts() const { return mAccounts; }

  // The Find functions return null if there is no match. The returned pointers are valid for the
  // lifetime of this object.
  const Service* FindService(const ServiceName& aName) const;
  const Service* FindModel(const ModelName& aModel) const;
  const ClientAccount* FindAccountByKey(const std::string& aKeySha256) const;

  bool operator==(const Configuration& aOther) const;

private:
  Configuration() = default;

  std::uint64_t mGeneration = 0;
  std::vector<Service> mServices;
  std::vector<ClientAccount> mAccounts;
  std::unordered_map<std::string, std::size_t> mAccountsByKey;
};

// Returns whether the account may call the service.
bool MayUse(const ClientAccount& aAccount, const ServiceName& aService);

} // namespace masticstep
