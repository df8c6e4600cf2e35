#include "masticstep/cli/AdminCommands.hpp"

#include "RunToCompletion.hpp"
#include "masticstep/net/HttpClient.hpp"

#include <boost/json.hpp>

#include <ostream>

namespace masticstep {

namespace {

namespace json = boost::json;

constexpr std::size_t kMaximumResponseBytes =
  16777216; // a status with 600 engines and 370 members takes about 100 KB

using AdminResponse = Result<net::HttpResponse, net::FetchError>;

AdminResponse SendAdminRequest(const Command& aCommand, std::string aMethod, std::string aTarget)
{
  boost::asio::io_context context;
  net::HttpRequest request;
  request.method = std::move(aMethod);
  request.target = std::move(aTarget);
  const net::HostPort address{ aCommand.adminAddress.ip, aCommand.adminAddress.port };
  const net::FetchLimits limits{ aCommand.timeout, aCommand.timeout, kMaximumResponseBytes };
  return RunToCompletion(
    context, net::Fetch(*net::ConnectionPool::Create(), address, std::move(request), limits));
}

ExitCode ReportUnavailable(const Command& aCommand, const AdminResponse& aResponse,
                           std::ostream& aErrors)
{
  aErrors << "daemon at " << ToString(aCommand.adminAddress) << ": "
          << (aResponse ? "responded with HTTP status " + std::to_string(aResponse->status)
                        : net::ToString(aResponse.error().error))
          << "\n";
  return ExitCode::Unavailable;
}

std::string FieldText(const json::object& aObject, std::string_view aKey)
{
  const json::value* value = aObject.if_contains(json::string_view(aKey.data(), aKey.size()));
  if (value == nullptr) {
    return "?";
  }
  return value->is_string() ? std::string(value->get_string()) : json::serialize(*value);
}

// Prints "KIND NAME: KEY VALUE, ..." for each object of a list. The first member of the object is
// the name; the key "state" is omitted.
void PrintList(const json::object& aStatus, std::string_view aListKey, std::string_view aKind,
               std::ostream& aOutput)
{
  const json::value* list =
    aStatus.if_contains(json::string_view(aListKey.data(), aListKey.size()));
  if (list == nullptr || !list->is_array()) {
    return;
  }
  for (const json::value& item : list->get_array()) {
    if (!item.is_object()) {
      continue;
    }
    std::string name;
    std::string details;
    for (const json::key_value_pair& member : item.get_object()) {
      const std::string key(member.key());
      const std::string text = FieldText(item.get_object(), key);
      if (name.empty()) {
        name = text;
        continue;
      }
      details += details.empty() ? ": " : ", ";
      if (key != "state") {
        details += key;
        details += ' ';
      }
      details += text;
    }
    aOutput << aKind << " " << name << details << "\n";
  }
}

} // namespace

bool PrintStatus(std::string_view aJson, std::ostream& aOutput)
{
  boost::system::error_code ec;
  const json::value parsed = json::parse(json::string_view(aJson.data(), aJson.size()), ec);
  if (ec || !parsed.is_object()) {
    return false;
  }
  const json::object& status = parsed.get_object();
  aOutput << "host " << FieldText(status, "host") << " in " << FieldText(status, "region") << "/"
          << FieldText(status, "data_centre") << ": " << FieldText(status, "state")
          << ", generation " << FieldText(status, "generation") << ", "
          << FieldText(status, "running_requests") << " requests running\n";
  PrintList(status, "members", "member", aOutput);
  PrintList(status, "engines", "engine", aOutput);
  PrintList(status, "servers", "server", aOutput);
  return true;
}

ExitCode RunStatus(const Command& aCommand, std::ostream& aOutput, std::ostream& aErrors)
{
  const AdminResponse response = SendAdminRequest(aCommand, "GET", "/status");
  if (!response || response->status != 200) {
    return ReportUnavailable(aCommand, response, aErrors);
  }
  if (aCommand.json) {
    aOutput << response->body << "\n";
    return ExitCode::Done;
  }
  if (!PrintStatus(response->body, aOutput)) {
    aErrors << "daemon at " << ToString(aCommand.adminAddress)
            << ": response is not a JSON object\n";
    return ExitCode::Unavailable;
  }
  return ExitCode::Done;
}

ExitCode RunDrain(const Command& aCommand, std::ostream& aOutput, std::ostream& aErrors)
{
  const AdminResponse response = SendAdminRequest(aCommand, "POST", "/drain");
  if (!response || response->status / 100 != 2) {
    return ReportUnavailable(aCommand, response, aErrors);
  }
  aOutput << "draining: " << ToString(aCommand.adminAddress) << "\n";
  return ExitCode::Done;
}

} // namespace masticstep
