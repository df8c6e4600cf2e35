#include "masticstep/accounts/Authentication.hpp"

namespace masticstep::accounts {

AuthenticationResult Authenticate(const AccountDirectory* aDirectory, bool aIsPublicRoute,
                                  const Credentials& aCredentials,
                                  const ConfigurationState& aConfiguration)
{
  if (aDirectory == nullptr) {
    return { AuthenticationOutcome::Allowed, nullptr };
  }
  const bool hasKey = aCredentials.kind == Credentials::Kind::Key;
  const ClientAccount* const account = hasKey ? aDirectory->Find(aCredentials.key) : nullptr;
  if (aIsPublicRoute) {
    return { AuthenticationOutcome::Allowed, account };
  }
  if (!hasKey) {
    return { AuthenticationOutcome::Unauthenticated, nullptr };
  }
  if (aConfiguration.mayHaveWithdrawnKeys) {
    return { AuthenticationOutcome::Unverifiable, nullptr };
  }
  if (account == nullptr) {
    return { aConfiguration.isSuperseded ? AuthenticationOutcome::Unverifiable
                                         : AuthenticationOutcome::Unauthenticated,
             nullptr };
  }
  return { AuthenticationOutcome::Allowed, account };
}

} // namespace masticstep::accounts
