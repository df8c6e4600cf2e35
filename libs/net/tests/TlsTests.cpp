#include "LoopbackServer.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/HttpClientConnection.hpp"
#include "masticstep/net/TlsContext.hpp"
#include "masticstep/testing/Test.hpp"
#include "masticstep/testing/TestAuthority.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/write.hpp>

#include <atomic>

using namespace masticstep;
using namespace masticstep::net;
using testing::TestAuthority;

namespace {

constexpr Duration kLimit = Seconds(30); // only bounds how long a failing test takes

TlsFiles FilesOf(const TestAuthority& aAuthority, const std::string& aName)
{
  const testing::CertificateFiles files = aAuthority.Issue(aName, 2, 30);
  return { files.certificate, files.key, files.authority };
}

// TLS server that echoes bodies and counts the requests that reach its handler.
struct EchoServer
{
  explicit EchoServer(const TestAuthority& aAuthority, TlsPeerCheck aCheck = TlsPeerCheck::None)
    : server(
        ServerLimits{},
        [this](HttpRequest aRequest, HttpResponder& aResponder) -> Task<void> {
          ++requests;
          HttpResponse response = JsonResponse(200, aRequest.body);
          co_await aResponder.Send(std::move(response));
        },
        *TlsContext::CreateServer(FilesOf(aAuthority, "server"), aCheck))
  {
  }

  std::atomic<int> requests{ 0 };
  LoopbackServer server;
};

Task<Result<std::string, NetError>> Exchange(std::unique_ptr<ByteStream> aStream, HostPort aAddress,
                                             std::string aBody)
{
  HttpClientConnection connection(std::move(aStream), std::move(aAddress));
  HttpRequest request;
  request.method = "POST";
  request.target = "/";
  request.body = std::move(aBody);
  const Result<void, NetError> sent = co_await connection.Send(request, Now() + kLimit);
  if (!sent) {
    co_return Failure(sent.error());
  }
  const Result<HttpResponseHead, NetError> head = co_await connection.ReadHead();
  if (!head) {
    co_return Failure(head.error());
  }
  std::string text;
  while (true) {
    const Result<std::string, NetError> part = co_await connection.ReadBodySome();
    if (!part || part->empty()) {
      co_return part ? Result<std::string, NetError>(text) : part;
    }
    text += *part;
  }
}

Task<Result<std::string, NetError>> Call(HostPort aAddress, std::shared_ptr<TlsContext> aTls,
                                         std::string aBody)
{
  Result<std::unique_ptr<ByteStream>, NetError> stream =
    co_await ConnectTls(aAddress, kLimit, aTls);
  if (!stream) {
    co_return Failure(stream.error());
  }
  co_return co_await Exchange(std::move(*stream), aAddress, aBody);
}

Result<std::string, NetError> CallNow(const EchoServer& aServer, const TlsFiles& aFiles,
                                      const std::string& aBody)
{
  WorkerPool workers(1);
  const std::shared_ptr<TlsContext> tls = *TlsContext::CreateClient(aFiles);
  const HostPort address = aServer.server.Address();
  return Await<Result<std::string, NetError>>(workers, [&] { return Call(address, tls, aBody); });
}

} // namespace

// Guards against answers that are cut where TLS records or socket buffers end.
MASTICSTEP_TEST("a caller that trusts the authority gets the whole answer", "[net][tls]")
{
  const TestAuthority authority;
  const EchoServer server(authority);
  const std::string body = std::string(500000, 'x') + "end";
  const Result<std::string, NetError> answer = CallNow(server, FilesOf(authority, "caller"), body);
  CPPUNIT_ASSERT_MESSAGE(answer ? "" : ToString(answer.error().kind), answer.has_value());
  CHECK_TRUE(*answer == body);
}

// Guards against a TLS port that also serves requests in the clear.
MASTICSTEP_TEST("plain HTTP on a TLS port gets no answer", "[net][tls]")
{
  const TestAuthority authority;
  const EchoServer server(authority);
  RawClient client(server.server.Address());
  client.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}");
  const std::string bytes = client.ReadUntilClosed();
  CHECK_TRUE(bytes.find("HTTP/") == std::string::npos);
  CHECK_EQUAL(0, server.requests.load());
  // The server goes on for others, so the check above can fail.
  CHECK_TRUE(CallNow(server, FilesOf(authority, "caller"), "{}").has_value());
  CHECK_EQUAL(1, server.requests.load());
}

// Guards against a caller that sends its key to a server that nobody vouches for.
MASTICSTEP_TEST("a server of another authority gets no request", "[net][tls]")
{
  const TestAuthority authority;
  const TestAuthority stranger;
  const EchoServer server(authority);
  const Result<std::string, NetError> answer = CallNow(server, FilesOf(stranger, "caller"), "{}");
  CHECK_FALSE(answer.has_value());
  CHECK_TRUE(answer.error().kind == NetErrorKind::TlsFailed);
  CHECK_EQUAL(0, server.requests.load());
}

// Guards against a peer check that lets every certificate pass.
MASTICSTEP_TEST("a server that checks its peers refuses another authority", "[net][tls]")
{
  const TestAuthority authority;
  const TestAuthority stranger;
  const EchoServer server(authority, TlsPeerCheck::Required);
  TlsFiles strange = FilesOf(stranger, "caller");
  strange.authority = FilesOf(authority, "caller").authority; // trusts the server
  CHECK_FALSE(CallNow(server, strange, "{}").has_value());
  CHECK_EQUAL(0, server.requests.load());
  CHECK_TRUE(CallNow(server, FilesOf(authority, "caller"), "{}").has_value());
}

// Guards against a caller that gets no answer, or a server that fails, because the caller sends its
// closing message of TLS right after its request.
MASTICSTEP_TEST("a TLS caller that ended its sending side gets its answer", "[net][tls][end]")
{
  namespace asio = boost::asio;
  const TestAuthority authority;
  const EchoServer server(authority);
  const std::shared_ptr<TlsContext> tls = *TlsContext::CreateClient(FilesOf(authority, "caller"));
  asio::io_context context;
  asio::ssl::stream<asio::ip::tcp::socket> caller(context, tls->Native());
  const HostPort address = server.server.Address();
  caller.lowest_layer().connect({ asio::ip::make_address(address.host), address.port });
  caller.handshake(asio::ssl::stream_base::client);
  asio::write(caller, asio::buffer(std::string("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\none")));
  SSL_shutdown(caller.native_handle());
  std::string answer;
  boost::system::error_code ec;
  asio::read(caller, asio::dynamic_buffer(answer), ec);
  CHECK_EQUAL(std::string("HTTP/1.1 200"), answer.substr(0, 12));
  CHECK_TRUE(answer.ends_with("\r\n\r\none"));
}
