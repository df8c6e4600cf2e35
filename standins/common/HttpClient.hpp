#pragma once

#include "common/Address.hpp"
#include "common/Exchange.hpp"

#include "masticstep/base/Time.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace masticstep::standins {

struct HttpCall
{
  Address server;
  std::string method = "GET";
  std::string target = "/";
  std::vector<Header> headers;
  std::string body;
  Duration timeout = Seconds(10); // for the entire call, including the connect
};

struct HttpReply
{
  unsigned status = 0; // HTTP status; 0 if the response was not received completely
  std::vector<Header> headers;
  std::string body;
  std::string error; // reason why status is 0

  // Returns the body as a JSON object, or an empty object if it is not one.
  boost::json::object Json() const;
  std::string HeaderValue(std::string_view aName) const; // empty if absent
};

// Makes one HTTP call over a new connection.
Awaitable<HttpReply> Fetch(HttpCall aCall);

// Makes one HTTP call and blocks until it has finished.
HttpReply FetchBlocking(const HttpCall& aCall);

} // namespace masticstep::standins
