#pragma once

#include "common/Address.hpp"
#include "common/Exchange.hpp"

#include "masticstep/base/Time.hpp"

#include <string>
#include <vector>

namespace masticstep::standins {

struct HttpCall
{
  Address server;
  std::string method = "GET";
  std::string target = "/";
  std::vector<Header> headers;
  std::string body;
  Duration timeout = Seconds(10); // of the whole call
};

struct HttpReply
{
  unsigned status = 0; // 0 if no whole answer came
  std::string body;
  std::string error; // why no whole answer came

  // Returns the body as an object; an empty one if it is not an object.
  boost::json::object Json() const;
};

// Makes one call on its own connection.
Awaitable<HttpReply> Fetch(HttpCall aCall);

// Makes one call and waits for its end.
HttpReply FetchNow(const HttpCall& aCall);

} // namespace masticstep::standins
