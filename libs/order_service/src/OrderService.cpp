#include "masticstep/order_service/OrderService.hpp"

#include "OrderServiceCore.hpp"
#include "masticstep/base/Hash.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/Sleep.hpp"

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace masticstep::order_service {

using orders::OrderResponse;

namespace {

constexpr Duration kDrainPollInterval = Milliseconds(20);

} // namespace

std::string DigestOf(const net::HttpRequest& aRequest)
{
  return Sha256Hex(aRequest.method + "\n" + aRequest.target + "\n" + aRequest.body);
}

OrderService::OrderService(net::Executor aExecutor, std::shared_ptr<platform::ObjectStore> aStore,
                           OrderServiceOptions aOptions,
                           std::shared_ptr<telemetry::Metrics> aMetrics)
  : mCore(std::make_shared<Core>(std::move(aExecutor), std::move(aStore), std::move(aOptions),
                                 std::move(aMetrics)))
{
}

OrderService::~OrderService() = default;

net::Task<OrderResponse> OrderService::Execute(OrderCall aCall)
{
  const std::shared_ptr<Core> core = mCore;
  const auto start = [core, call = std::move(aCall)](auto aHandler) mutable {
    using Handler = decltype(aHandler);
    // std::function requires a copyable target, which the completion handler of a coroutine is not.
    const std::shared_ptr<Handler> handler = std::make_shared<Handler>(std::move(aHandler));
    core->Start(std::move(call), [handler](OrderResponse aResponse) {
      const auto executor = boost::asio::get_associated_executor(*handler);
      boost::asio::post(executor, [handler, response = std::move(aResponse)]() mutable {
        (*handler)(std::move(response));
      });
    });
  };
  co_return co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>,
                                                 void(OrderResponse)>(start,
                                                                      boost::asio::use_awaitable);
}

net::Task<bool> OrderService::Drain(Time aDeadline)
{
  const std::shared_ptr<Core> core = mCore;
  while (!core->IsIdle()) {
    if (net::Now() >= aDeadline) {
      co_return false;
    }
    co_await net::Sleep(kDrainPollInterval);
  }
  co_return true;
}

} // namespace masticstep::order_service
