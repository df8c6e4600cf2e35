#pragma once

#include "masticstep/accounts/AccountDirectory.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace masticstep::accounts {

// What a caller presented to show who it is.
struct Credentials
{
  enum class Kind : std::uint8_t
  {
    Missing,
    Malformed, // several, of an unknown scheme, or no possible key
    Key
  };
  Kind kind = Kind::Missing;
  std::string key; // a secret: never logged

  bool operator==(const Credentials&) const = default;
};

enum class AuthenticationOutcome : std::uint8_t
{
  Allowed,
  Unauthenticated, // no key, or one that the configuration does not hold
  Unverifiable     // the key may have been withdrawn or added since the configuration was read
};

// What is known of the configuration by which a request is judged.
struct ConfigurationState
{
  bool mayHaveWithdrawnKeys = false; // it is too old for keys to be accepted
  bool isSuperseded = false;         // another daemon has a newer one

  bool operator==(const ConfigurationState&) const = default;
};

struct AuthenticationResult
{
  AuthenticationOutcome outcome = AuthenticationOutcome::Unauthenticated;
  const ClientAccount* account = nullptr; // null if the request belongs to none

  bool operator==(const AuthenticationResult&) const = default;
};

// Decides whether a request may be served. Without a directory the configuration has no accounts,
// and all requests may. A public route needs no key, but a known one still names the account.
AuthenticationResult Authenticate(const AccountDirectory* aDirectory, bool aIsPublicRoute,
                                  const Credentials& aCredentials,
                                  const ConfigurationState& aConfiguration);

} // namespace masticstep::accounts
