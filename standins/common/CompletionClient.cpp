#include "common/CompletionClient.hpp"

#include "common/EventReader.hpp"
#include "common/GeneratedText.hpp"
#include "common/TokenBucket.hpp"

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

http::request<http::string_body> RequestOf(const CompletionCall& aCall)
{
  http::request<http::string_body> request(http::verb::post, "/v1/completions", 11);
  request.set(http::field::host, aCall.server.Text());
  request.set(http::field::content_type, "application/json");
  request.keep_alive(false);
  if (!aCall.key.empty()) {
    request.set(http::field::authorization, "Bearer " + aCall.key);
  }
  if (!aCall.className.empty()) {
    request.set("X-Class", aCall.className);
  }
  const boost::json::value body{ { "model", aCall.model },
                                 { "prompt", aCall.prompt },
                                 { "max_tokens", aCall.maxTokens },
                                 { "stream", true } };
  request.body() = boost::json::serialize(body);
  request.prepare_payload();
  return request;
}

} // namespace

bool CompletionResult::IsWholeAnswerTo(const CompletionCall& aCall) const
{
  return isComplete && !hasGap && tokens == aCall.maxTokens &&
         text == GeneratedText(aCall.prompt, aCall.maxTokens);
}

Awaitable<CompletionResult> StreamCompletion(CompletionCall aCall, TokenObserver aObserver)
{
  CompletionResult result;
  result.sent = Now();
  boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(aCall.idleTimeout);
  ErrorCode ec;
  const Tcp::endpoint endpoint = EndpointOf(aCall.server);
  co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, ec));
  http::request<http::string_body> request = RequestOf(aCall);
  if (!ec) {
    co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, ec));
  }
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  EventReader reader(result);
  while (!ec && !parser.is_done()) {
    stream.expires_after(aCall.idleTimeout);
    co_await http::async_read_some(stream, buffer, parser,
                                   asio::redirect_error(asio::use_awaitable, ec));
    if (parser.is_header_done()) {
      result.status = parser.get().result_int();
      reader.Read(parser.get().body(), Now(), aObserver);
    }
  }
  const bool isErrorStatus = result.status != 0 && result.status != 200;
  if (ec) {
    result.error += ec.message();
  } else if (isErrorStatus) {
    result.error = parser.get().body();
  }
  co_return result;
}

CompletionResult StreamCompletionBlocking(const CompletionCall& aCall,
                                          const TokenObserver& aObserver)
{
  asio::io_context context(1);
  CompletionResult result;
  asio::co_spawn(context, StreamCompletion(aCall, aObserver),
                 [&result](const std::exception_ptr&, CompletionResult aResult) {
                   result = std::move(aResult);
                 });
  context.run();
  return result;
}

} // namespace masticstep::standins
