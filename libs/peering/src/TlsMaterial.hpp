#pragma once

#include "masticstep/base/Result.hpp"
#include "masticstep/net/TlsContext.hpp"
#include "masticstep/peering/PeeringSettings.hpp"

#include <chrono>
#include <memory>
#include <string>

namespace masticstep {

// Warnings start this long before the certificate expires, so that a working week is left to renew
// it.
constexpr std::chrono::hours kExpiryWarning{ 14 * 24 };

// TLS contexts of a host made from its files, and made again when the files change.
class TlsMaterial
{
public:
  static Result<TlsMaterial, PeeringError> Load(const net::TlsFiles& aFiles);

  // Reads the files again. Returns true if they changed and are now in use. On an error the earlier
  // contexts stay in use.
  Result<bool, PeeringError> Refresh();

  const std::shared_ptr<net::TlsContext>& Server() const { return mServer; }
  const std::shared_ptr<net::TlsContext>& Client() const { return mClient; }
  // Time until the certificate expires; negative once it has.
  std::chrono::seconds TimeLeft() const;

private:
  net::TlsFiles mFiles;
  std::string mText; // the three files, for finding changes
  std::shared_ptr<net::TlsContext> mServer;
  std::shared_ptr<net::TlsContext> mClient;
};

} // namespace masticstep
