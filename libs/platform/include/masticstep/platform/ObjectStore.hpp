#pragma once

#include "masticstep/platform/PlatformReply.hpp"
#include "masticstep/platform/PlatformRequest.hpp"

#include <functional>

namespace masticstep::platform {

// The platform's object API. Each request gets exactly one reply, which may arrive on another
// thread and in any order.
class ObjectStore
{
public:
  using Callback = std::function<void(PlatformReply)>;

  ObjectStore() = default;
  ObjectStore(const ObjectStore&) = delete;
  ObjectStore& operator=(const ObjectStore&) = delete;
  virtual ~ObjectStore() = default;

  virtual void Submit(PlatformRequest aRequest, Callback aCallback) = 0;
};

} // namespace masticstep::platform
