#include "PlainPath.hpp"

#include <cctype>

namespace masticstep::gateway {

namespace {

int HexDigit(char aDigit)
{
  if (aDigit >= '0' && aDigit <= '9') {
    return aDigit - '0';
  }
  const int lower = std::tolower(static_cast<unsigned char>(aDigit));
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

// Returns true for characters that must not be percent-encoded, because they need no encoding or
// separate path segments.
bool IsDisallowedEncoding(int aByte)
{
  return std::isalnum(aByte) != 0 ||
         std::string_view("-._~/\\").find(static_cast<char>(aByte)) != std::string_view::npos;
}

bool HasCanonicalEncoding(std::string_view aPath)
{
  for (std::size_t i = 0; i < aPath.size(); ++i) {
    if (aPath[i] == '\\' || aPath[i] == '#') {
      return false;
    }
    if (aPath[i] != '%') {
      continue;
    }
    const int high = i + 2 < aPath.size() ? HexDigit(aPath[i + 1]) : -1;
    const int low = i + 2 < aPath.size() ? HexDigit(aPath[i + 2]) : -1;
    if (high < 0 || low < 0 || IsDisallowedEncoding(high * 16 + low)) {
      return false;
    }
  }
  return true;
}

bool HasCanonicalSegments(std::string_view aPath)
{
  while (!aPath.empty()) {
    aPath.remove_prefix(1); // the slash
    const std::string_view segment = aPath.substr(0, aPath.find('/'));
    const bool isLast = segment.size() == aPath.size();
    if (segment == "." || segment == ".." || (segment.empty() && !isLast)) {
      return false;
    }
    aPath.remove_prefix(segment.size());
  }
  return true;
}

} // namespace

Result<PlainPath, Refusal> PlainPath::Parse(std::string_view aTarget)
{
  constexpr std::string_view kPrefix = "/services/";
  if (!aTarget.starts_with(kPrefix)) {
    return Failure(NotFound("no such path"));
  }
  const std::string_view rest = aTarget.substr(kPrefix.size());
  const std::size_t nameEnd = rest.find_first_of("/?");
  PlainPath path;
  path.service = ServiceName(std::string(rest.substr(0, nameEnd)));
  path.target = nameEnd == std::string_view::npos ? "/" : std::string(rest.substr(nameEnd));
  if (path.target.front() == '?') {
    path.target.insert(0, "/");
  }
  path.path = path.target.substr(0, path.target.find('?'));
  if (!HasCanonicalEncoding(path.path) || !HasCanonicalSegments(path.path)) {
    return Failure(BadInput("the path has empty or dot segments or needless percent-encoding"));
  }
  return path;
}

} // namespace masticstep::gateway
