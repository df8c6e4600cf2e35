#include "common/HttpClient.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <exception>

namespace masticstep::standins {

namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t kMaxResponseBytes = 16U << 20U;

http::request<http::string_body> RequestOf(const HttpCall& aCall)
{
  http::request<http::string_body> request;
  request.method_string(aCall.method);
  request.target(aCall.target);
  request.version(11);
  request.set(http::field::host, aCall.server.Text());
  request.keep_alive(false);
  for (const Header& header : aCall.headers) {
    request.set(header.name, header.value);
  }
  request.body() = aCall.body;
  request.prepare_payload();
  return request;
}

} // namespace

boost::json::object HttpReply::Json() const
{
  ErrorCode ec;
  boost::json::value value = boost::json::parse(body, ec);
  return !ec && value.is_object() ? std::move(value.get_object()) : boost::json::object{};
}

std::string HttpReply::HeaderValue(std::string_view aName) const
{
  const std::vector<Header>::const_iterator it =
    std::find_if(headers.begin(), headers.end(),
                 [aName](const Header& aHeader) { return aHeader.name == aName; });
  return it == headers.end() ? std::string() : it->value;
}

Awaitable<HttpReply> Fetch(HttpCall aCall)
{
  HttpReply reply;
  boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(aCall.timeout);
  ErrorCode ec;
  const Tcp::endpoint endpoint = EndpointOf(aCall.server);
  co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, ec));
  http::request<http::string_body> request = RequestOf(aCall);
  if (!ec) {
    co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, ec));
  }
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxResponseBytes);
  if (!ec) {
    co_await http::async_read(stream, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, ec));
  }
  if (ec) {
    reply.error = ec.message();
    co_return reply;
  }
  reply.status = parser.get().result_int();
  for (const auto& field : parser.get()) {
    reply.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
  }
  reply.body = std::move(parser.get().body());
  co_return reply;
}

HttpReply FetchBlocking(const HttpCall& aCall)
{
  asio::io_context context(1);
  HttpReply result;
  asio::co_spawn(context, Fetch(aCall), [&result](const std::exception_ptr&, HttpReply aReply) {
    result = std::move(aReply);
  });
  context.run();
  return result;
}

} // namespace masticstep::standins
