#pragma once

namespace masticstep::roles {

// Work that arrived per second over a short span, in engines: engine seconds per second.
struct WorkloadSample
{
  // Of requests whose prompt needs more engine time than their answer.
  double promptWork = 0.0;
  // Of all others.
  double outputWork = 0.0;
};

} // namespace masticstep::roles
