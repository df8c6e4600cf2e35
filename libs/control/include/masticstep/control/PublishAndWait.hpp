#pragma once

#include "masticstep/base/Time.hpp"
#include "masticstep/platform/ObjectStore.hpp"
#include "masticstep/publication/Publisher.hpp"

#include <string>
#include <vector>

namespace masticstep::control {

// Publishes the services and blocks the calling thread until the outcome is known, at most for the
// timeout. The store must call back on another thread. The nonce must be unique to the call, such
// as 16 hexadecimal digits from a random device. For the command line:
//
//   net::WorkerPool workers(1);
//   platform_client::HttpObjectStore store(workers.Context().get_executor(), options);
//   const publication::PublishOutcome outcome = PublishAndWait(store, services, nonce,
//   Seconds(30));
//
// Exit codes: Accepted 0, BadInput 1, Conflict 3, Unavailable 4. If outcome.maybeAccepted is set,
// the error message must say that the update may have been accepted.
publication::PublishOutcome PublishAndWait(platform::ObjectStore& aStore,
                                           std::vector<publication::ServiceContent> aServices,
                                           std::string aNonce, Duration aTimeout);

} // namespace masticstep::control
