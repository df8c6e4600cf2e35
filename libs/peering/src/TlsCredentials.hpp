#pragma once

#include "masticstep/base/Result.hpp"
#include "masticstep/net/TlsContext.hpp"
#include "masticstep/peering/PeeringSettings.hpp"

#include <chrono>
#include <memory>
#include <string>

namespace masticstep {

// Expiry warnings start this long before the certificate expires, which leaves a working week to
// renew it.
constexpr std::chrono::hours kExpiryWarningPeriod{ 14 * 24 };

// Server and client TLS contexts of a host, created from its certificate files and recreated
// when the files change.
class TlsCredentials
{
public:
  static Result<TlsCredentials, PeeringError> Load(const net::TlsFiles& aFiles);

  // Reads the files again. Returns true if they changed and the new contexts are in use. On an
  // error the previous contexts stay in use.
  Result<bool, PeeringError> Refresh();

  const std::shared_ptr<net::TlsContext>& Server() const { return mServer; }
  const std::shared_ptr<net::TlsContext>& Client() const { return mClient; }
  // Time until the certificate expires; negative after expiry.
  std::chrono::seconds TimeToExpiry() const;

private:
  net::TlsFiles mFiles;
  std::string mFileContents; // concatenated contents of the three files, for detecting changes
  std::shared_ptr<net::TlsContext> mServer;
  std::shared_ptr<net::TlsContext> mClient;
};

} // namespace masticstep
