#include "RequestDigest.hpp"

#include "masticstep/base/Hash.hpp"

#include <string>

namespace masticstep::relay {

RequestDigest DigestOf(const Call& aCall, std::string_view aSource)
{
  std::uint64_t content = 0;
  for (const std::string_view field :
       { std::string_view(aCall.method), std::string_view(aCall.host),
         std::string_view(aCall.target), std::string_view(aCall.body) }) {
    content = Hash64(field, content);
  }
  if (aCall.prompt) {
    content = Hash64(aCall.prompt->model, content);
    for (const dispatch::PromptPart& part : aCall.prompt->parts) {
      content = Hash64(std::to_string(part.id), content);
    }
  }
  return { content, Hash64(aSource, content) };
}

} // namespace masticstep::relay
