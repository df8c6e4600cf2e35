#include "masticstep/testing/TestAuthority.hpp"

#include <openssl/ec.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace masticstep::testing {

namespace {

template <class Write>
void WriteFile(const std::string& aPath, Write aWrite)
{
  std::FILE* file = std::fopen(aPath.c_str(), "w");
  aWrite(file);
  std::fclose(file);
}

} // namespace

TestAuthority::TestAuthority()
  : mKey(EVP_EC_gen("P-256"), EVP_PKEY_free)
  , mCertificate(nullptr, X509_free)
{
  std::string folder = (std::filesystem::temp_directory_path() / "masticstep-XXXXXX").string();
  mFolder = mkdtemp(folder.data());
  mCertificate = Sign("authority", 1, 30, mKey.get(), nullptr);
}

TestAuthority::~TestAuthority()
{
  std::filesystem::remove_all(mFolder);
}

TestAuthority::Certificate TestAuthority::Sign(const std::string& aName, long aSerial, int aDays,
                                               EVP_PKEY* aKey, const X509* aIssuer) const
{
  Certificate certificate(X509_new(), X509_free);
  X509_set_version(certificate.get(), 2);
  ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), aSerial);
  X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -3600);
  X509_gmtime_adj(X509_getm_notAfter(certificate.get()), 86400L * aDays);
  X509_set_pubkey(certificate.get(), aKey);
  X509_NAME* name = X509_get_subject_name(certificate.get());
  X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC,
                             reinterpret_cast<const unsigned char*>(aName.c_str()), -1, -1, 0);
  X509_set_issuer_name(certificate.get(),
                       aIssuer == nullptr ? name : X509_get_subject_name(aIssuer));
  if (aIssuer == nullptr) {
    X509_EXTENSION* extension =
      X509V3_EXT_conf_nid(nullptr, nullptr, NID_basic_constraints, "critical,CA:TRUE");
    X509_add_ext(certificate.get(), extension, -1);
    X509_EXTENSION_free(extension);
  }
  X509_sign(certificate.get(), mKey.get(), EVP_sha256());
  return certificate;
}

CertificateFiles TestAuthority::Issue(const std::string& aName, long aSerial, int aDays) const
{
  const Key key(EVP_EC_gen("P-256"), EVP_PKEY_free);
  const Certificate certificate = Sign(aName, aSerial, aDays, key.get(), mCertificate.get());
  CertificateFiles files{ mFolder + "/" + aName + ".pem", mFolder + "/" + aName + ".key",
                          mFolder + "/ca.pem" };
  WriteFile(files.certificate, [&](std::FILE* aFile) { PEM_write_X509(aFile, certificate.get()); });
  WriteFile(files.key, [&](std::FILE* aFile) {
    PEM_write_PrivateKey(aFile, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
  });
  WriteFile(files.authority, [&](std::FILE* aFile) { PEM_write_X509(aFile, mCertificate.get()); });
  return files;
}

void TestAuthority::Damage(const std::string& aName) const
{
  std::ofstream(mFolder + "/" + aName + ".pem") << "damaged";
}

} // namespace masticstep::testing
