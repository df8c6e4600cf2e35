#include "support/TlsCaller.hpp"

#include "common/EventReader.hpp"
#include "support/Process.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/impl/src.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace masticstep::integration {

namespace http = boost::beast::http;
namespace ssl = boost::asio::ssl;
using standins::CompletionCall;
using standins::CompletionResult;
using Stream = ssl::stream<standins::Tcp::socket>;

namespace {

http::request<http::string_body> RequestOf(const CompletionCall& aCall)
{
  http::request<http::string_body> request(http::verb::post, "/v1/completions", 11);
  request.set(http::field::host, aCall.server.Text());
  request.set(http::field::content_type, "application/json");
  request.set(http::field::authorization, "Bearer " + aCall.key);
  request.keep_alive(false);
  request.body() = boost::json::serialize(boost::json::object{ { "model", aCall.model },
                                                               { "prompt", aCall.prompt },
                                                               { "max_tokens", aCall.maxTokens },
                                                               { "stream", true } });
  request.prepare_payload();
  return request;
}

// Throws boost::system::system_error if no whole answer comes.
void Exchange(const CompletionCall& aCall, Stream& aStream, CompletionResult& aResult)
{
  aStream.next_layer().connect(standins::EndpointOf(aCall.server));
  aStream.handshake(ssl::stream_base::client);
  http::write(aStream, RequestOf(aCall));
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  http::read(aStream, buffer, parser);
  aResult.status = parser.get().result_int();
  standins::EventReader reader(aResult);
  reader.Read(parser.get().body(), ClockNow(), {});
}

} // namespace

CompletionResult StreamOverTls(const CompletionCall& aCall, const testing::CertificateFiles& aFiles)
{
  CompletionResult result;
  standins::asio::io_context context(1);
  ssl::context tls(ssl::context::tls_client);
  tls.load_verify_file(aFiles.authority);
  tls.set_verify_mode(ssl::verify_peer);
  Stream stream(context, tls);
  try {
    Exchange(aCall, stream, result);
  } catch (const boost::system::system_error& error) {
    result.error = error.what();
  }
  return result;
}

} // namespace masticstep::integration
