#include "StoreCall.hpp"

#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>
#include <utility>

namespace masticstep::relay {

namespace asio = boost::asio;
using platform::PlatformReply;

net::Task<PlatformReply> CallStore(platform::ObjectStore& aStore, net::Executor aExecutor,
                                   std::uint64_t aNumber, platform::PlatformCall aCall)
{
  platform::PlatformRequest request;
  request.number = aNumber;
  request.call = std::move(aCall);
  const auto submit = [&aStore, &aExecutor, &request](auto aHandler) {
    const auto handler = std::make_shared<decltype(aHandler)>(std::move(aHandler));
    aStore.Submit(std::move(request), [handler, executor = aExecutor](PlatformReply aReply) {
      asio::post(executor,
                 [handler, reply = std::move(aReply)]() mutable { (*handler)(std::move(reply)); });
    });
  };
  co_return co_await asio::async_initiate<const asio::use_awaitable_t<>, void(PlatformReply)>(
    submit, asio::use_awaitable);
}

} // namespace masticstep::relay
