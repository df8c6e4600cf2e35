#pragma once

#include "masticstep/base/Result.hpp"
#include "masticstep/net/NetError.hpp"

#include <boost/asio/ssl/context.hpp>

#include <memory>
#include <string>

namespace masticstep::net {

// PEM files of one host.
struct TlsFiles
{
  std::string certificate;
  std::string key;
  std::string authority;

  bool operator==(const TlsFiles&) const = default;
};

enum class TlsPeerCheck
{
  None,    // callers authenticate by bearer key
  Required // peers present a certificate of the same authority
};

// OpenSSL context for TLS 1.2 and later.
class TlsContext
{
public:
  static Result<std::shared_ptr<TlsContext>, NetError> CreateServer(const TlsFiles& aFiles,
                                                                    TlsPeerCheck aCheck);
  static Result<std::shared_ptr<TlsContext>, NetError> CreateClient(const TlsFiles& aFiles);

  boost::asio::ssl::context& Native() const { return *mContext; }

private:
  explicit TlsContext(std::unique_ptr<boost::asio::ssl::context> aContext);
  static Result<std::shared_ptr<TlsContext>, NetError> Load(
    const TlsFiles& aFiles, boost::asio::ssl::context::method aMethod, int aVerifyMode);

  std::unique_ptr<boost::asio::ssl::context> mContext;
};

} // namespace masticstep::net
