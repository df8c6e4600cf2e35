#include "common/Exchange.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/write.hpp>

#include <charconv>

namespace masticstep::standins {

namespace http = boost::beast::http;

namespace {

std::string DecodePercent(std::string_view aText)
{
  std::string text;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    unsigned value = 0;
    const bool isEscaped =
      aText[i] == '%' && i + 2 < aText.size() &&
      std::from_chars(aText.data() + i + 1, aText.data() + i + 3, value, 16).ptr ==
        aText.data() + i + 3;
    text += isEscaped ? static_cast<char>(value) : aText[i];
    i += isEscaped ? 2 : 0;
  }
  return text;
}

} // namespace

Exchange::Exchange(Tcp::socket& aSocket, Request aRequest)
  : mSocket(&aSocket)
  , mRequest(std::move(aRequest))
  , mMethod(mRequest.method_string())
{
  ParseTarget({ mRequest.target().data(), mRequest.target().size() });
}

void Exchange::ParseTarget(std::string_view aTarget)
{
  const std::size_t queryStart = aTarget.find('?');
  mPath = DecodePercent(aTarget.substr(0, queryStart));
  std::string_view query =
    queryStart == std::string_view::npos ? "" : aTarget.substr(queryStart + 1);
  while (!query.empty()) {
    const std::size_t end = std::min(query.find('&'), query.size());
    const std::string_view pair = query.substr(0, end);
    const std::size_t equals = std::min(pair.find('='), pair.size());
    const std::string_view value = equals < pair.size() ? pair.substr(equals + 1) : "";
    mParameters[DecodePercent(pair.substr(0, equals))] = DecodePercent(value);
    query = end < query.size() ? query.substr(end + 1) : "";
  }
}

std::string Exchange::Parameter(const std::string& aName) const
{
  const std::map<std::string, std::string>::const_iterator it = mParameters.find(aName);
  return it == mParameters.end() ? std::string() : it->second;
}

std::int64_t Exchange::IntegerParameter(const std::string& aName, std::int64_t aDefault) const
{
  const std::string text = Parameter(aName);
  std::int64_t n = aDefault;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return n;
}

std::string Exchange::HeaderValue(std::string_view aName) const
{
  const boost::beast::string_view name(aName.data(), aName.size());
  const Request::const_iterator it = mRequest.find(name);
  return it == mRequest.end() ? std::string() : std::string(it->value());
}

std::optional<boost::json::object> Exchange::JsonBody() const
{
  ErrorCode ec;
  boost::json::value value = boost::json::parse(mRequest.body(), ec);
  if (ec || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.get_object());
}

Awaitable<void> Exchange::Reply(unsigned aStatus, std::string aBody, std::vector<Header> aHeaders)
{
  http::response<http::string_body> response(static_cast<http::status>(aStatus),
                                             mRequest.version());
  response.keep_alive(mRequest.keep_alive());
  response.set(http::field::content_type, "application/json");
  for (const Header& header : aHeaders) {
    response.set(header.name, header.value);
  }
  response.body() = std::move(aBody);
  response.prepare_payload();
  ErrorCode ec;
  co_await http::async_write(*mSocket, response, asio::redirect_error(asio::use_awaitable, ec));
  if (ec) {
    Drop();
  }
}

Awaitable<void> Exchange::ReplyJson(unsigned aStatus, boost::json::value aBody)
{
  std::string text = boost::json::serialize(aBody);
  co_await Reply(aStatus, std::move(text));
}

Awaitable<void> Exchange::ReplyError(unsigned aStatus, std::string aType, std::string aMessage)
{
  boost::json::value body{ { "error", { { "type", aType }, { "message", aMessage } } } };
  co_await ReplyJson(aStatus, std::move(body));
}

Awaitable<void> Exchange::BeginReply(unsigned aStatus, std::size_t aBodyBytes,
                                     std::vector<Header> aHeaders)
{
  http::response<http::empty_body> response(static_cast<http::status>(aStatus), mRequest.version());
  response.keep_alive(mRequest.keep_alive());
  response.set(http::field::content_type, "application/json");
  for (const Header& header : aHeaders) {
    response.set(header.name, header.value);
  }
  response.content_length(aBodyBytes);
  http::response_serializer<http::empty_body> serializer(response);
  ErrorCode ec;
  co_await http::async_write_header(*mSocket, serializer,
                                    asio::redirect_error(asio::use_awaitable, ec));
}

Awaitable<bool> Exchange::BeginEvents(std::vector<Header> aHeaders)
{
  http::response<http::empty_body> response(http::status::ok, mRequest.version());
  response.keep_alive(mRequest.keep_alive());
  response.set(http::field::content_type, "text/event-stream");
  for (const Header& header : aHeaders) {
    response.set(header.name, header.value);
  }
  response.chunked(true);
  http::response_serializer<http::empty_body> serializer(response);
  ErrorCode ec;
  co_await http::async_write_header(*mSocket, serializer,
                                    asio::redirect_error(asio::use_awaitable, ec));
  co_return !ec;
}

Awaitable<bool> Exchange::SendEvents(std::string aText)
{
  ErrorCode ec;
  co_await asio::async_write(*mSocket, http::make_chunk(asio::buffer(aText)),
                             asio::redirect_error(asio::use_awaitable, ec));
  co_return !ec;
}

Awaitable<void> Exchange::EndEvents()
{
  ErrorCode ec;
  co_await asio::async_write(*mSocket, http::make_chunk_last(),
                             asio::redirect_error(asio::use_awaitable, ec));
}

Awaitable<void> Exchange::SendRaw(std::string aBytes)
{
  ErrorCode ec;
  co_await asio::async_write(*mSocket, asio::buffer(aBytes),
                             asio::redirect_error(asio::use_awaitable, ec));
}

void Exchange::Drop()
{
  ErrorCode ec;
  mSocket->close(ec);
}

} // namespace masticstep::standins
