#include "GatewayFixture.hpp"
#include "PlainPath.hpp"
#include "masticstep/testing/Test.hpp"

#include <array>
#include <ctime>

using namespace masticstep;
using namespace masticstep::gateway;

namespace {

net::Task<void> Echo(net::HttpRequest aRequest, net::HttpResponder& aResponder)
{
  const bool hasKey = !net::FindHeader(aRequest.headers, "Authorization").empty();
  net::HttpResponse response{ 201, {}, aRequest.target + (hasKey ? " with key" : " without key") };
  response.headers.push_back({ "X-Own", "1" });
  co_await aResponder.Send(std::move(response));
}

net::HttpRequest Request(const char* aMethod, const char* aTarget)
{
  net::HttpRequest request{ aMethod, aTarget, {}, {}, {} };
  request.headers.push_back({ "Authorization", "Bearer key" });
  return request;
}

// Order with a key dated now.
net::HttpRequest Order()
{
  const std::time_t now = std::time(nullptr);
  std::tm parts{};
  gmtime_r(&now, &parts);
  std::array<char, 32> date{};
  std::strftime(date.data(), date.size(), "%Y%m%dT%H%M%SZ-test-order", &parts);
  net::HttpRequest request = Request("POST", "/services/ordering/orders");
  request.headers.push_back({ "Idempotency-Key", date.data() });
  request.body = "one beam";
  return request;
}

std::string ClosedUrl()
{
  const TestBackend closed(Echo);
  return closed.Url();
}

} // namespace

// Guards against answers that the gateway changes, and keys that leave it.
MASTICSTEP_TEST("a plain call is passed on without the caller's key", "[gateway][plain]")
{
  TestBackend server(Echo);
  GatewayFixture fixture({}, { server.Url() });
  const net::HttpResponse answer = fixture.Call(Request("GET", "/services/ordering/stock?shop=3"));
  CHECK_EQUAL(201U, answer.status);
  CHECK_EQUAL(std::string("/stock?shop=3 without key"), answer.body);
  CHECK_EQUAL(std::string("1"), std::string(net::FindHeader(answer.headers, "X-Own")));
  CHECK_FALSE(net::FindHeader(answer.headers, "X-Request-Id").empty());
}

// Guards against a failed call while another server could answer.
MASTICSTEP_TEST("a repeatable call goes to another server", "[gateway][plain][retry]")
{
  TestBackend server(Echo);
  GatewayFixture fixture({}, { ClosedUrl(), server.Url() });
  for (int i = 0; i < 4; ++i) {
    CHECK_EQUAL(201U, fixture.Call(Request("GET", "/services/ordering/stock")).status);
  }
}

// Guards against sending a call that must not run twice without a record of it.
MASTICSTEP_TEST("a call that must not be repeated needs an idempotency key", "[gateway][plain]")
{
  TestBackend server(Echo);
  GatewayFixture fixture({}, { server.Url() });
  for (const char* target : { "/services/ordering/orders", "/services/ordering/other" }) {
    const net::HttpResponse answer = fixture.Call(Request("POST", target));
    CHECK_EQUAL(400U, answer.status);
    CHECK_TRUE(Contains(answer.body, "\"run\":\"not_run\""));
  }
  CHECK_TRUE(server.Log().empty());
}

// Guards against a second execution, and against another answer, when a caller repeats an order.
MASTICSTEP_TEST("an order runs once and its answer is repeated", "[gateway][orders]")
{
  TestBackend server(Echo);
  GatewayFixture fixture({}, { ClosedUrl(), server.Url() });
  const net::HttpRequest order = Order();
  for (int i = 0; i < 3; ++i) {
    const net::HttpResponse answer = fixture.Call(order);
    CHECK_EQUAL(201U, answer.status);
    CHECK_EQUAL(std::string("/orders without key"), answer.body);
    // The outcome is recorded after the answer; until then a repetition is answered "unknown".
    fixture.WaitForOrders();
  }
  CHECK_EQUAL(1U, server.Log().size());
  net::HttpRequest other = order;
  other.body = "another";
  CHECK_EQUAL(409U, fixture.Call(std::move(other)).status);
}

// Guards against an order that runs without a durable claim.
MASTICSTEP_TEST("an order is refused as not run while the platform is down", "[gateway][orders]")
{
  TestBackend server(Echo);
  GatewayFixture fixture({}, { server.Url() });
  fixture.Store().SetOutage(true);
  const net::HttpResponse answer = fixture.Call(Order());
  CHECK_EQUAL(503U, answer.status);
  CHECK_TRUE(Contains(answer.body, "\"run\":\"not_run\""));
  CHECK_TRUE(server.Log().empty());
}

// Guards against a path that the rules read differently from the server.
MASTICSTEP_TEST("ambiguous paths are refused", "[gateway][plain]")
{
  for (const char* target :
       { "/services/ordering/./orders", "/services/ordering/x/../orders", "/services/ordering//a",
         "/services/ordering/%6Frders", "/services/ordering/a%2Fb", "/services/ordering/a%2",
         "/services/ordering/a\\b" }) {
    CHECK_EQUAL(400U, PlainPath::Parse(target).error().status);
  }
  CHECK_EQUAL(404U, PlainPath::Parse("/service/ordering").error().status);
  const PlainPath path = PlainPath::Parse("/services/ordering/a%20b/?c=//").value();
  CHECK_EQUAL(std::string("/a%20b/"), path.path);
  CHECK_EQUAL(std::string("/a%20b/?c=//"), path.target);
  CHECK_EQUAL(std::string("/"), PlainPath::Parse("/services/ordering").value().target);
}

// Guards against telling accounts which services exist.
MASTICSTEP_TEST("unknown services answer 404 and unknown keys 401", "[gateway][plain]")
{
  GatewayFixture fixture({}, { ClosedUrl() });
  CHECK_EQUAL(404U, fixture.Call(Request("GET", "/services/none/")).status);
  CHECK_EQUAL(404U, fixture.Call(Request("GET", "/services/drafting/")).status);
  net::HttpRequest request = Request("GET", "/services/ordering/");
  request.headers.clear();
  CHECK_EQUAL(401U, fixture.Call(std::move(request)).status);
}
