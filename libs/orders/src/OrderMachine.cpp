#include "masticstep/orders/OrderMachine.hpp"

#include "OrderMachineImplementation.hpp"

#include <utility>

namespace masticstep::orders {

OrderMachine::OrderMachine(OrderOptions aOptions)
  : mImplementation(std::make_unique<Implementation>(std::move(aOptions)))
{
}

OrderMachine::OrderMachine(const OrderMachine& aOther)
  : mImplementation(std::make_unique<Implementation>(*aOther.mImplementation))
{
}

OrderMachine& OrderMachine::operator=(const OrderMachine& aOther)
{
  if (this != &aOther) {
    mImplementation = std::make_unique<Implementation>(*aOther.mImplementation);
  }
  return *this;
}

OrderMachine::OrderMachine(OrderMachine&&) noexcept = default;
OrderMachine& OrderMachine::operator=(OrderMachine&&) noexcept = default;
OrderMachine::~OrderMachine() = default;

OrderActions OrderMachine::Start(const OrderRequest& aRequest, Time aNow)
{
  return mImplementation->Start(aRequest, aNow);
}

OrderActions OrderMachine::OnPlatformReply(const platform::PlatformReply& aReply, Time aNow)
{
  return mImplementation->OnPlatformReply(aReply, aNow);
}

OrderActions OrderMachine::OnBackendReply(const BackendReply& aReply, Time aNow)
{
  return mImplementation->OnBackendReply(aReply, aNow);
}

OrderActions OrderMachine::OnTime(Time aNow)
{
  return mImplementation->OnTime(aNow);
}

std::optional<Time> OrderMachine::NextWakeUp() const
{
  return mImplementation->NextWakeUp();
}

bool OrderMachine::IsIdle() const
{
  return mImplementation->IsIdle();
}

std::uint64_t OrderMachine::DroppedOutcomes() const
{
  return mImplementation->DroppedOutcomes();
}

} // namespace masticstep::orders
