#pragma once

#include "common/CompletionClient.hpp"

#include "masticstep/testing/TestAuthority.hpp"

namespace masticstep::integration {

// Streams one completion over TLS and waits for its end. The daemon's certificate must be of the
// authority in aFiles.
standins::CompletionResult StreamOverTls(const standins::CompletionCall& aCall,
                                         const testing::CertificateFiles& aFiles);

} // namespace masticstep::integration
