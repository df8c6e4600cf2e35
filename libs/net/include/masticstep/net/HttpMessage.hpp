#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace masticstep::net {

struct HttpHeader
{
  std::string name;
  std::string value;

  bool operator==(const HttpHeader&) const = default;
};

using HttpHeaders = std::vector<HttpHeader>;

// How the end of an answer's body is marked.
enum class BodyFraming
{
  Length,
  Chunked,
  UntilClose // neither: the end of the connection
};

// Returns the value of the first header with this name, ignoring case; empty if there is none.
std::string_view FindHeader(const HttpHeaders& aHeaders, std::string_view aName);

struct HttpRequest
{
  std::string method = "GET";
  std::string target = "/";
  HttpHeaders headers;
  std::string body;
  std::string source; // address of the sender; empty for outgoing requests

  // Returns the target without its query.
  std::string_view Path() const;
  bool operator==(const HttpRequest&) const = default;
};

// Status and headers of an answer, before its body.
struct HttpResponseHead
{
  unsigned status = 200;
  HttpHeaders headers;

  bool operator==(const HttpResponseHead&) const = default;
};

struct HttpResponse
{
  unsigned status = 200;
  HttpHeaders headers;
  std::string body;

  bool operator==(const HttpResponse&) const = default;
};

// Builds an answer with a JSON body.
HttpResponse JsonResponse(unsigned aStatus, std::string aBody);

} // namespace masticstep::net
