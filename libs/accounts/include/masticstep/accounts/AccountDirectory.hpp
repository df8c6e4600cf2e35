#pragma once

#include "masticstep/accounts/ClientAccount.hpp"
#include "masticstep/base/Result.hpp"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace masticstep::accounts {

// The client accounts of one configuration. Immutable, so that the threads that use it need no
// lock.
class AccountDirectory
{
public:
  // Fails with a description if an account has no name or a key belongs to two accounts. The
  // description never contains a key.
  static Result<std::shared_ptr<const AccountDirectory>, std::string> Create(
    std::vector<ClientAccount> aAccounts);

  // Returns the account that holds the key, or null. The time does not depend on how much of the
  // key is right.
  const ClientAccount* Find(std::string_view aKey) const;
  const std::vector<ClientAccount>& Accounts() const { return mAccounts; }
  bool operator==(const AccountDirectory& aOther) const { return mAccounts == aOther.mAccounts; }

private:
  struct KeyEntry
  {
    std::string key;
    std::size_t account = 0; // index into mAccounts
  };

  explicit AccountDirectory(std::vector<ClientAccount> aAccounts);
  Result<void, std::string> AddKeys();

  std::vector<ClientAccount> mAccounts;
  std::unordered_multimap<std::uint64_t, KeyEntry> mByHash;
};

} // namespace masticstep::accounts
