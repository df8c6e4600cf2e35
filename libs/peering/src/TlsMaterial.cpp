#include "TlsMaterial.hpp"

#include <openssl/asn1.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>

#include <fstream>
#include <iterator>
#include <utility>

namespace masticstep {

namespace {

std::string ReadFiles(const net::TlsFiles& aFiles)
{
  std::string text;
  for (const std::string& path : { aFiles.certificate, aFiles.key, aFiles.authority }) {
    std::ifstream file(path, std::ios::binary);
    text.append(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
    text += '\0';
  }
  return text;
}

} // namespace

Result<TlsMaterial, PeeringError> TlsMaterial::Load(const net::TlsFiles& aFiles)
{
  TlsMaterial material;
  material.mFiles = aFiles;
  const Result<bool, PeeringError> loaded = material.Refresh();
  if (!loaded) {
    return Failure(loaded.error());
  }
  return material;
}

Result<bool, PeeringError> TlsMaterial::Refresh()
{
  std::string text = ReadFiles(mFiles);
  if (mServer && text == mText) {
    return false;
  }
  Result<std::shared_ptr<net::TlsContext>, net::NetError> server =
    net::TlsContext::CreateServer(mFiles, net::TlsPeerCheck::Required);
  Result<std::shared_ptr<net::TlsContext>, net::NetError> client =
    net::TlsContext::CreateClient(mFiles);
  if (!server || !client) {
    return Failure(PeeringError{ (server ? client : server).error().detail });
  }
  SSL_CTX* native = (*server)->Native().native_handle();
  if (SSL_CTX_check_private_key(native) != 1) {
    return Failure(PeeringError{ mFiles.key + ": the key does not belong to the certificate" });
  }
  mServer = *std::move(server);
  mClient = *std::move(client);
  mText = std::move(text);
  return true;
}

std::chrono::seconds TlsMaterial::TimeLeft() const
{
  const X509* certificate = SSL_CTX_get0_certificate(mServer->Native().native_handle());
  int days = 0;
  int seconds = 0;
  ASN1_TIME_diff(&days, &seconds, nullptr, X509_get0_notAfter(certificate));
  return std::chrono::hours{ 24 } * days + std::chrono::seconds{ seconds };
}

} // namespace masticstep
