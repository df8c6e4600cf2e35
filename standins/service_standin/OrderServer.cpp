#include "service_standin/OrderServer.hpp"

#include "common/JsonFields.hpp"

#include "masticstep/base/Hash.hpp"

namespace masticstep::standins {

namespace {

// Decrements a positive counter; returns false and leaves it unchanged if it is not positive.
bool DecrementIfPositive(std::int64_t& aCount)
{
  if (aCount <= 0) {
    return false;
  }
  --aCount;
  return true;
}

Duration MillisecondsField(const boost::json::object& aBody, std::string_view aName,
                           Duration aDefault)
{
  return Milliseconds(IntegerField(aBody, aName, aDefault / Milliseconds(1)));
}

} // namespace

Awaitable<void> OrderServer::Handle(Exchange& aExchange)
{
  const std::string& path = aExchange.Path();
  if (path == "/standin/faults") {
    co_await HandleFaults(aExchange);
    co_return;
  }
  if (path == "/standin/counters") {
    boost::json::value body{ { "calls", mCalls } };
    co_await aExchange.ReplyJson(200, std::move(body));
    co_return;
  }
  if (path == "/executions") {
    boost::json::value body = ExecutionsJson();
    co_await aExchange.ReplyJson(200, std::move(body));
    co_return;
  }
  ++mCalls;
  if (mFaults.outage) {
    co_await aExchange.ReplyError(503, "outage", "service is down");
    co_return;
  }
  if (aExchange.Method() == "POST" && path == "/orders") {
    co_await PlaceOrder(aExchange);
    co_return;
  }
  co_await Pause(mFaults.delay);
  if (DecrementIfPositive(mFaults.failBefore)) {
    co_await aExchange.ReplyError(500, "failed", "injected failure before execution");
    co_return;
  }
  boost::json::value body{ { "service", "ordering" }, { "path", path } };
  co_await aExchange.ReplyJson(200, std::move(body));
}

Awaitable<void> OrderServer::PlaceOrder(Exchange& aExchange)
{
  const std::string key = aExchange.HeaderValue("Idempotency-Key");
  co_await Pause(mFaults.delay);
  if (DecrementIfPositive(mFaults.failBefore)) {
    co_await aExchange.ReplyError(500, "failed", "injected failure before execution");
    co_return;
  }
  const std::uint64_t n = ++mExecutions[key];
  const bool isFailed = DecrementIfPositive(mFaults.failAfter);
  const bool isResponseLost = DecrementIfPositive(mFaults.loseAnswers);
  co_await Pause(mFaults.lateAnswer);
  if (isResponseLost) {
    aExchange.Drop();
    co_return;
  }
  if (isFailed) {
    co_await aExchange.ReplyError(500, "failed", "injected failure after execution");
    co_return;
  }
  boost::json::value body{ { "order", key },
                           { "execution", n },
                           { "body_sha256", Sha256Hex(aExchange.Body()) } };
  co_await aExchange.ReplyJson(200, std::move(body));
}

Awaitable<void> OrderServer::HandleFaults(Exchange& aExchange)
{
  const std::optional<boost::json::object> body = aExchange.JsonBody();
  if (!body) {
    co_await aExchange.ReplyError(400, "bad_request",
                                  "POST /standin/faults requires a JSON object");
    co_return;
  }
  mFaults.outage = BooleanField(*body, "outage", mFaults.outage);
  mFaults.delay = MillisecondsField(*body, "delay_ms", mFaults.delay);
  mFaults.lateAnswer = MillisecondsField(*body, "late_answer_ms", mFaults.lateAnswer);
  mFaults.failBefore = IntegerField(*body, "fail_before", mFaults.failBefore);
  mFaults.failAfter = IntegerField(*body, "fail_after", mFaults.failAfter);
  mFaults.loseAnswers = IntegerField(*body, "lose_answers", mFaults.loseAnswers);
  co_await aExchange.Reply(200, "{}");
}

boost::json::value OrderServer::ExecutionsJson() const
{
  boost::json::object counts;
  for (const std::pair<const std::string, std::uint64_t>& entry : mExecutions) {
    counts[entry.first] = entry.second;
  }
  return counts;
}

} // namespace masticstep::standins
