#include "masticstep/control/RoleController.hpp"

#include "masticstep/net/Clock.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <utility>

namespace masticstep::control {

using roles::RoleAction;
using roles::RoleActionKind;

namespace {

const char* NameOf(roles::Role aRole)
{
  switch (aRole) {
    case roles::Role::Prefill:
      return "prefill";
    case roles::Role::Decode:
      return "decode";
    case roles::Role::Mixed:
      break;
  }
  return "mixed";
}

} // namespace

RoleController::RoleController(std::shared_ptr<EngineAuthority> aAuthority,
                               std::shared_ptr<EngineDrainer> aDrainer, roles::RolePolicy aPolicy)
  : mAuthority(std::move(aAuthority))
  , mDrainer(std::move(aDrainer))
  , mPlanner(aPolicy)
{
}

void RoleController::SetPolicy(const roles::RolePolicy& aPolicy)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mPlanner.SetPolicy(aPolicy);
}

void RoleController::OnWorkload(const roles::WorkloadSample& aSample, Time aNow)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mPlanner.OnWorkload(aSample, aNow);
}

void RoleController::OnEngineStatus(const roles::EngineStatus& aStatus, Time aTaken)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mPlanner.OnEngineStatus(aStatus, aTaken);
}

void RoleController::OnEngineRemoved(const EngineId& aEngine)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mPlanner.OnEngineRemoved(aEngine);
}

void RoleController::Tick(Time aNow)
{
  if (!mAuthority->IsHolder()) {
    return;
  }
  std::vector<RoleAction> actions;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    actions = mPlanner.Plan(aNow);
  }
  for (const RoleAction& action : actions) {
    if (action.kind == RoleActionKind::Drain) {
      mDrainer->Drain(action.engine);
    } else {
      SetRole(action);
    }
  }
}

void RoleController::SetRole(const RoleAction& aAction)
{
  telemetry::Log(telemetry::Level::Info, "role_change",
                 { { "engine", aAction.engine.Text() }, { "role", NameOf(aAction.role) } });
  mAuthority->SendCommand({ aAction.engine, "set_role", NameOf(aAction.role) },
                          [self = shared_from_this(), aAction](CommandResult aResult) {
                            self->OnResult(aAction, aResult);
                          });
}

void RoleController::OnResult(const RoleAction& aAction, CommandResult aResult)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (aResult == CommandResult::Done) {
      mPlanner.OnRoleChanged(aAction.engine, aAction.role, net::Now());
    } else {
      mPlanner.OnChangeFailed(aAction.engine, net::Now());
    }
  }
  mDrainer->Resume(aAction.engine);
}

} // namespace masticstep::control
