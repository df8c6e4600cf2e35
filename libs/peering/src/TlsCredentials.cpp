#include "TlsCredentials.hpp"

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
  std::string contents;
  for (const std::string& path : { aFiles.certificate, aFiles.key, aFiles.authority }) {
    std::ifstream file(path, std::ios::binary);
    contents.append(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
    contents += '\0';
  }
  return contents;
}

} // namespace

Result<TlsCredentials, PeeringError> TlsCredentials::Load(const net::TlsFiles& aFiles)
{
  TlsCredentials credentials;
  credentials.mFiles = aFiles;
  const Result<bool, PeeringError> loaded = credentials.Refresh();
  if (!loaded) {
    return Failure(loaded.error());
  }
  return credentials;
}

Result<bool, PeeringError> TlsCredentials::Refresh()
{
  std::string contents = ReadFiles(mFiles);
  if (mServer && contents == mFileContents) {
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
    return Failure(PeeringError{ mFiles.key + ": private key does not match the certificate" });
  }
  mServer = *std::move(server);
  mClient = *std::move(client);
  mFileContents = std::move(contents);
  return true;
}

std::chrono::seconds TlsCredentials::TimeToExpiry() const
{
  const X509* certificate = SSL_CTX_get0_certificate(mServer->Native().native_handle());
  int days = 0;
  int seconds = 0;
  ASN1_TIME_diff(&days, &seconds, nullptr, X509_get0_notAfter(certificate));
  return std::chrono::hours{ 24 } * days + std::chrono::seconds{ seconds };
}

} // namespace masticstep
