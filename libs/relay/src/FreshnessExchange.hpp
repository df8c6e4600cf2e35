#pragma once

#include "WorkReportChannel.hpp"
#include "masticstep/accounts/FreshnessPolicy.hpp"
#include "masticstep/base/Random.hpp"
#include "masticstep/relay/RelayState.hpp"

#include <functional>
#include <memory>
#include <string>

namespace masticstep::relay {

// Keeps the knowledge young that the configuration is the newest, so that keys can be accepted:
// asks the daemons that watch the store, and the store itself if these do not help.
class FreshnessExchange : public std::enable_shared_from_this<FreshnessExchange>
{
public:
  // Reads the configuration from the store. Returns false if the store does not answer.
  using ReadStore = std::function<net::Task<bool>()>;

  FreshnessExchange(std::shared_ptr<RelayState> aState, std::shared_ptr<WorkReportChannel> aChannel,
                    ReadStore aReadStore, std::uint64_t aSeed);

  net::Task<void> Run();
  // Applies a peer's datagram. Returns the datagram to answer with, or an empty text.
  std::string Apply(std::string_view aDatagram);

private:
  void AskPeers(accounts::FreshnessSource aSource);
  // Counts and logs the moments at which keys are no longer, or again, accepted.
  void NoteChange(Time aNow);

  const std::shared_ptr<RelayState> mState;
  const std::shared_ptr<WorkReportChannel> mChannel; // null without a socket
  const ReadStore mReadStore;
  Random mRandom;
  const accounts::FreshnessPolicy mPolicy;
  bool mWasFresh = false;
};

} // namespace masticstep::relay
