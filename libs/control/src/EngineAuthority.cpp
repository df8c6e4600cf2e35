#include "masticstep/control/EngineAuthority.hpp"

#include "EngineAuthorityCore.hpp"

#include <utility>

namespace masticstep::control {

EngineAuthority::EngineAuthority(net::Executor aExecutor,
                                 std::shared_ptr<platform::ObjectStore> aStore,
                                 AuthorityOptions aOptions,
                                 std::shared_ptr<const OrderCodec> aCodec)
  : mCore(std::make_shared<Core>(std::move(aExecutor), std::move(aStore), std::move(aOptions),
                                 std::move(aCodec)))
{
}

EngineAuthority::~EngineAuthority()
{
  mCore->Stop();
}

void EngineAuthority::Start()
{
  mCore->Start();
}

void EngineAuthority::SetEngines(std::vector<EngineTarget> aEngines)
{
  mCore->SetEngines(std::move(aEngines));
}

bool EngineAuthority::IsHolder() const
{
  return mCore->IsHolder();
}

authority::LeaseStatus EngineAuthority::Lease() const
{
  return mCore->Lease();
}

std::optional<HostName> EngineAuthority::KnownHolder() const
{
  return mCore->KnownHolder();
}

void EngineAuthority::SendCommand(const EngineCommand& aCommand, Callback aCallback)
{
  mCore->SendCommand(aCommand, std::move(aCallback));
}

void EngineAuthority::Release()
{
  mCore->Release();
}

} // namespace masticstep::control
