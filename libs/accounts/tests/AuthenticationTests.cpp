#include "masticstep/accounts/Authentication.hpp"

#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::accounts;

namespace {

std::shared_ptr<const AccountDirectory> MakeDirectory()
{
  return *AccountDirectory::Create({ { AccountName{ "shop" }, { "key-1", "key-2" }, 1 },
                                     { AccountName{ "yard" }, { "key-3" }, std::nullopt },
                                     { AccountName{ "closed" }, {}, std::nullopt } });
}

Credentials Key(const std::string& aKey)
{
  return { Credentials::Kind::Key, aKey };
}

constexpr ConfigurationState kCurrent{};
constexpr ConfigurationState kStale{ true, false };
constexpr ConfigurationState kSuperseded{ false, true };

} // namespace

// Guards against requests that run without the key of an account, and against known keys that are
// refused for good by a daemon that only has an old configuration.
MASTICSTEP_TEST("a request is judged by its key, its route and the age of the configuration",
                "[accounts]")
{
  using Outcome = AuthenticationOutcome;
  struct Case
  {
    const char* name;
    bool isPublic;
    Credentials credentials;
    ConfigurationState configuration;
    Outcome outcome;
    const char* account;
  };
  const Credentials malformed{ Credentials::Kind::Malformed, {} };
  const std::vector<Case> cases{
    { "first key", false, Key("key-1"), kCurrent, Outcome::Allowed, "shop" },
    { "second key", false, Key("key-2"), kCurrent, Outcome::Allowed, "shop" },
    { "other account", false, Key("key-3"), kSuperseded, Outcome::Allowed, "yard" },
    { "unknown key", false, Key("key-4"), kCurrent, Outcome::Unauthenticated, "" },
    { "part of a key", false, Key("key-"), kCurrent, Outcome::Unauthenticated, "" },
    { "unknown key, newer configuration elsewhere", false, Key("key-4"), kSuperseded,
      Outcome::Unverifiable, "" },
    { "no key", false, {}, kCurrent, Outcome::Unauthenticated, "" },
    { "malformed", false, malformed, kCurrent, Outcome::Unauthenticated, "" },
    { "malformed, stale", false, malformed, kStale, Outcome::Unauthenticated, "" },
    { "known key, stale", false, Key("key-1"), kStale, Outcome::Unverifiable, "" },
    { "unknown key, stale", false, Key("key-4"), kStale, Outcome::Unverifiable, "" },
    { "public route, no key", true, {}, kCurrent, Outcome::Allowed, "" },
    { "public route, stale", true, {}, kStale, Outcome::Allowed, "" },
    { "public route, key", true, Key("key-3"), kCurrent, Outcome::Allowed, "yard" },
    { "public route, unknown key", true, Key("key-4"), kCurrent, Outcome::Allowed, "" },
  };
  const std::shared_ptr<const AccountDirectory> directory = MakeDirectory();
  for (const Case& item : cases) {
    const AuthenticationResult result =
      Authenticate(directory.get(), item.isPublic, item.credentials, item.configuration);
    const std::string account = result.account == nullptr ? "" : result.account->name.Text();
    CPPUNIT_ASSERT_MESSAGE(item.name, item.outcome == result.outcome && account == item.account);
  }
}

MASTICSTEP_TEST("without accounts in the configuration every request is allowed", "[accounts]")
{
  for (const Credentials& credentials : { Credentials{}, Key("any") }) {
    const AuthenticationResult result = Authenticate(nullptr, false, credentials, kStale);
    CHECK_TRUE(result.outcome == AuthenticationOutcome::Allowed);
    CHECK_TRUE(result.account == nullptr);
  }
}

// Guards against requests that are charged to another account, and against keys in error messages.
MASTICSTEP_TEST("a key of two accounts is an error that does not show the key", "[accounts]")
{
  const Result<std::shared_ptr<const AccountDirectory>, std::string> directory =
    AccountDirectory::Create({ { AccountName{ "a" }, { "secret" }, std::nullopt },
                               { AccountName{ "b" }, { "secret" }, std::nullopt } });
  CHECK_FALSE(directory.has_value());
  CHECK_TRUE(directory.error().find("'a' and 'b'") != std::string::npos);
  CHECK_TRUE(directory.error().find("secret") == std::string::npos);
  CHECK_FALSE(AccountDirectory::Create({ { AccountName{}, {}, std::nullopt } }).has_value());
}

MASTICSTEP_TEST("thousands of accounts are found by their keys", "[accounts]")
{
  constexpr int kAccounts = 4800;
  std::vector<ClientAccount> list;
  for (int i = 0; i < kAccounts; ++i) {
    const std::string number = std::to_string(i);
    list.push_back({ AccountName{ "a" + number }, { "k" + number }, std::nullopt });
  }
  const std::shared_ptr<const AccountDirectory> directory =
    *AccountDirectory::Create(std::move(list));
  for (int i = 0; i < kAccounts; ++i) {
    const std::string number = std::to_string(i);
    const ClientAccount* const account = directory->Find("k" + number);
    CHECK_TRUE(account != nullptr && account->name.Text() == "a" + number);
  }
  CHECK_TRUE(directory->Find("k4800") == nullptr);
}
