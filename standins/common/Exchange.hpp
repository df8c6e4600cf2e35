#pragma once

#include "common/Asio.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace masticstep::standins {

struct Header
{
  std::string name;
  std::string value;
};

// One HTTP request and its response.
class Exchange
{
public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  Exchange(Tcp::socket& aSocket, Request aRequest);

  const std::string& Method() const { return mMethod; }
  const std::string& Path() const { return mPath; } // percent-decoded, without the query
  const std::string& Body() const { return mRequest.body(); }
  bool HasParameter(const std::string& aName) const { return mParameters.contains(aName); }
  std::string Parameter(const std::string& aName) const;
  std::int64_t IntegerParameter(const std::string& aName, std::int64_t aDefault) const;
  std::string HeaderValue(std::string_view aName) const; // empty if absent
  // Returns the body as a JSON object, or nullopt if it is not one.
  std::optional<boost::json::object> JsonBody() const;

  Awaitable<void> Reply(unsigned aStatus, std::string aBody, std::vector<Header> aHeaders = {});
  Awaitable<void> ReplyJson(unsigned aStatus, boost::json::value aBody);
  // Sends {"error": {"type", "message"}}.
  Awaitable<void> ReplyError(unsigned aStatus, std::string aType, std::string aMessage);

  // Sends the head of a response; its body of aBodyBytes follows through SendRaw.
  Awaitable<void> BeginReply(unsigned aStatus, std::size_t aBodyBytes,
                             std::vector<Header> aHeaders = {});

  // Server-sent events as a chunked response. Begin and Send return false if the write failed, for
  // example because the peer has closed the connection.
  Awaitable<bool> BeginEvents(std::vector<Header> aHeaders = {});
  Awaitable<bool> SendEvents(std::string aText);
  Awaitable<void> EndEvents();

  // Writes bytes unchanged; they need not form a valid HTTP response.
  Awaitable<void> SendRaw(std::string aBytes);
  // Closes the connection without sending further data.
  void Drop();
  bool IsOpen() const { return mSocket->is_open(); }
  bool IsKeepAlive() const { return mSocket->is_open() && mRequest.keep_alive(); }

private:
  void ParseTarget(std::string_view aTarget);

  Tcp::socket* mSocket;
  Request mRequest;
  std::string mMethod;
  std::string mPath;
  std::map<std::string, std::string> mParameters;
};

} // namespace masticstep::standins
