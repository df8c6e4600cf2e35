#pragma once

namespace masticstep::roles {

// Work that arrived over a short interval, in engine seconds per second.
struct WorkloadSample
{
  // Requests whose prompt needs more engine time than their output.
  double promptWork = 0.0;
  // All other requests.
  double outputWork = 0.0;
};

} // namespace masticstep::roles
