#include "masticstep/accounts/AccountDirectory.hpp"

#include "masticstep/base/Hash.hpp"

#include <utility>

namespace masticstep::accounts {

namespace {

// Compares all bytes, so that the time tells nothing about where two keys of a length differ.
bool EqualsInConstantTime(std::string_view aLeft, std::string_view aRight)
{
  if (aLeft.size() != aRight.size()) {
    return false;
  }
  unsigned difference = 0;
  for (std::size_t i = 0; i < aLeft.size(); ++i) {
    difference |= static_cast<unsigned char>(aLeft[i]) ^ static_cast<unsigned char>(aRight[i]);
  }
  return difference == 0;
}

} // namespace

AccountDirectory::AccountDirectory(std::vector<ClientAccount> aAccounts)
  : mAccounts(std::move(aAccounts))
{
}

Result<std::shared_ptr<const AccountDirectory>, std::string> AccountDirectory::Create(
  std::vector<ClientAccount> aAccounts)
{
  const std::shared_ptr<AccountDirectory> directory(new AccountDirectory(std::move(aAccounts)));
  const Result<void, std::string> added = directory->AddKeys();
  if (!added) {
    return Failure(added.error());
  }
  return std::shared_ptr<const AccountDirectory>(directory);
}

Result<void, std::string> AccountDirectory::AddKeys()
{
  for (std::size_t i = 0; i < mAccounts.size(); ++i) {
    const ClientAccount& account = mAccounts[i];
    if (account.name.IsEmpty()) {
      return Failure(std::string("a client account has no name"));
    }
    for (const std::string& key : account.keys) {
      const ClientAccount* const holder = Find(key);
      if (holder != nullptr && holder->name != account.name) {
        return Failure("client accounts '" + holder->name.Text() + "' and '" + account.name.Text() +
                       "' have a key in common");
      }
      mByHash.emplace(Hash64(key), KeyEntry{ key, i });
    }
  }
  return {};
}

const ClientAccount* AccountDirectory::Find(std::string_view aKey) const
{
  const ClientAccount* found = nullptr;
  const auto range = mByHash.equal_range(Hash64(aKey));
  for (auto it = range.first; it != range.second; ++it) {
    if (EqualsInConstantTime(it->second.key, aKey)) {
      found = &mAccounts[it->second.account];
    }
  }
  return found;
}

} // namespace masticstep::accounts
