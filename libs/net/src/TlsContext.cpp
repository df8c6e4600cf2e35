#include "masticstep/net/TlsContext.hpp"

#include <utility>

namespace masticstep::net {

namespace ssl = boost::asio::ssl;

TlsContext::TlsContext(std::unique_ptr<ssl::context> aContext)
  : mContext(std::move(aContext))
{
}

Result<std::shared_ptr<TlsContext>, NetError> TlsContext::CreateServer(const TlsFiles& aFiles,
                                                                       TlsPeerCheck aCheck)
{
  const int mode = aCheck == TlsPeerCheck::Required
                     ? ssl::verify_peer | ssl::verify_fail_if_no_peer_cert
                     : ssl::verify_none;
  return Load(aFiles, ssl::context::tls_server, mode);
}

Result<std::shared_ptr<TlsContext>, NetError> TlsContext::CreateClient(const TlsFiles& aFiles)
{
  return Load(aFiles, ssl::context::tls_client, ssl::verify_peer);
}

Result<std::shared_ptr<TlsContext>, NetError> TlsContext::Load(const TlsFiles& aFiles,
                                                               ssl::context::method aMethod,
                                                               int aVerifyMode)
{
  std::unique_ptr<ssl::context> context = std::make_unique<ssl::context>(aMethod);
  boost::system::error_code ec;
  std::string file = aFiles.certificate;
  context->set_options(ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1, ec);
  context->use_certificate_chain_file(aFiles.certificate, ec);
  if (!ec) {
    file = aFiles.key;
    context->use_private_key_file(aFiles.key, ssl::context::pem, ec);
  }
  if (!ec) {
    file = aFiles.authority;
    context->load_verify_file(aFiles.authority, ec);
  }
  if (!ec) {
    context->set_verify_mode(aVerifyMode, ec);
  }
  if (ec) {
    return Failure(NetError{ NetErrorKind::TlsFailed, file + ": " + ec.message() });
  }
  return std::shared_ptr<TlsContext>(new TlsContext(std::move(context)));
}

} // namespace masticstep::net
