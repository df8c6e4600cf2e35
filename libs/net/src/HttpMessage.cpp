#include "masticstep/net/HttpMessage.hpp"

#include <boost/beast/core/string.hpp>

#include <utility>

namespace masticstep::net {

std::string_view FindHeader(const HttpHeaders& aHeaders, std::string_view aName)
{
  for (const HttpHeader& header : aHeaders) {
    if (boost::beast::iequals(header.name, { aName.data(), aName.size() })) {
      return header.value;
    }
  }
  return {};
}

std::string_view HttpRequest::Path() const
{
  return std::string_view(target).substr(0, target.find('?'));
}

HttpResponse JsonResponse(unsigned aStatus, std::string aBody)
{
  return { aStatus, { { "Content-Type", "application/json" } }, std::move(aBody) };
}

} // namespace masticstep::net
