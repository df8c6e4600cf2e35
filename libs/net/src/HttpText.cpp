#include "HttpText.hpp"

#include <boost/beast/http/status.hpp>

#include <array>
#include <charconv>

namespace masticstep::net {

namespace {

constexpr std::string_view kLineEnd = "\r\n";

// Drops line ends, so that a value can never add a header of its own.
void AppendSafely(std::string& aOutput, std::string_view aValue)
{
  for (const char c : aValue) {
    if (c != '\r' && c != '\n' && c != '\0') {
      aOutput += c;
    }
  }
}

void AppendHeader(std::string& aOutput, std::string_view aName, std::string_view aValue)
{
  AppendSafely(aOutput, aName);
  aOutput += ": ";
  AppendSafely(aOutput, aValue);
  aOutput += kLineEnd;
}

} // namespace

std::string RequestText(const HttpRequest& aRequest, const std::string& aHost)
{
  std::string text = aRequest.method + " ";
  AppendSafely(text, aRequest.target);
  text += " HTTP/1.1\r\n";
  if (FindHeader(aRequest.headers, "Host").empty()) {
    AppendHeader(text, "Host", aHost);
  }
  for (const HttpHeader& header : aRequest.headers) {
    AppendHeader(text, header.name, header.value);
  }
  if (!aRequest.body.empty() || (aRequest.method != "GET" && aRequest.method != "HEAD")) {
    AppendHeader(text, "Content-Length", std::to_string(aRequest.body.size()));
  }
  text += kLineEnd;
  text += aRequest.body;
  return text;
}

std::string ResponseHeadText(const HttpResponseHead& aHead, BodyFraming aFraming,
                             std::size_t aBodySize, bool aCloses)
{
  const boost::beast::string_view reason =
    boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(aHead.status));
  std::string text = "HTTP/1.1 " + std::to_string(aHead.status) + " ";
  text.append(reason.data(), reason.size());
  text += kLineEnd;
  for (const HttpHeader& header : aHead.headers) {
    AppendHeader(text, header.name, header.value);
  }
  if (aFraming == BodyFraming::Length) {
    AppendHeader(text, "Content-Length", std::to_string(aBodySize));
  } else if (aFraming == BodyFraming::Chunked) {
    AppendHeader(text, "Transfer-Encoding", "chunked");
  }
  if (aCloses) {
    AppendHeader(text, "Connection", "close");
  }
  text += kLineEnd;
  return text;
}

void AppendChunkHeader(std::string& aOutput, std::size_t aSize)
{
  std::array<char, 16> size{};
  const std::to_chars_result end = std::to_chars(size.data(), size.data() + size.size(), aSize, 16);
  aOutput.append(size.data(), end.ptr);
  aOutput += kLineEnd;
}

} // namespace masticstep::net
