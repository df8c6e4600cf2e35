#pragma once

#include <openssl/evp.h>
#include <openssl/x509.h>

#include <memory>
#include <string>

namespace masticstep::testing {

// PEM files of one host.
struct CertificateFiles
{
  std::string certificate;
  std::string key;
  std::string authority;
};

// Certificate authority for tests. Files go into a temporary folder that lives as long as the
// object.
class TestAuthority
{
public:
  TestAuthority();
  ~TestAuthority();
  TestAuthority(const TestAuthority&) = delete;
  TestAuthority& operator=(const TestAuthority&) = delete;

  // Writes a certificate and key signed by this authority, over earlier files of the same name.
  CertificateFiles Issue(const std::string& aName, long aSerial, int aDays) const;
  // Writes anything over the certificate of that name.
  void Damage(const std::string& aName) const;

private:
  using Key = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
  using Certificate = std::unique_ptr<X509, decltype(&X509_free)>;

  Certificate Sign(const std::string& aName, long aSerial, int aDays, EVP_PKEY* aKey,
                   const X509* aIssuer) const;

  std::string mFolder;
  Key mKey;
  Certificate mCertificate;
};

} // namespace masticstep::testing
