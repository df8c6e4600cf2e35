#pragma once

#include "WorkReportChannel.hpp"
#include "masticstep/control/EngineAuthority.hpp"
#include "masticstep/relay/RelayState.hpp"
#include "masticstep/wire/DutyReport.hpp"

#include <memory>
#include <string_view>

namespace masticstep::relay {

// Brings what the holder of the duties needs to it: each daemon reports to the store watchers of
// its data centre, and the store poller among them reports for the data centre to the holder.
// Counts are repeated, so that lost datagrams and ended daemons lose little.
class DutyExchange : public std::enable_shared_from_this<DutyExchange>
{
public:
  DutyExchange(std::shared_ptr<RelayState> aState, std::shared_ptr<WorkReportChannel> aChannel,
               std::shared_ptr<control::EngineAuthority> aAuthority, DataCentreName aDataCentre);

  net::Task<void> Run();
  // Applies a peer's datagram.
  void Apply(std::string_view aDatagram);

private:
  void ReportOwn();
  void ReportDataCentre();
  void Apply(const wire::DutyReport& aReport);

  const std::shared_ptr<RelayState> mState;
  const std::shared_ptr<WorkReportChannel> mChannel; // null without a socket
  const std::shared_ptr<control::EngineAuthority> mAuthority;
  const DataCentreName mDataCentre;
};

} // namespace masticstep::relay
