#include "masticstep/config/Service.hpp"

namespace masticstep {

const char* ToString(EngineRole aRole)
{
  switch (aRole) {
    case EngineRole::Mixed:
      return "mixed";
    case EngineRole::Prefill:
      return "prefill";
    case EngineRole::Decode:
      return "decode";
  }
  return "mixed";
}

const ServiceClass* FindClass(const Service& aService, const ClassName& aName)
{
  for (const ServiceClass& serviceClass : aService.classes) {
    if (aName.IsEmpty() || serviceClass.name == aName) {
      return &serviceClass;
    }
  }
  return nullptr;
}

bool IsRepeatable(const Service& aService, const std::string& aMethod, const std::string& aPath)
{
  const CallRule* best = nullptr;
  for (const CallRule& rule : aService.calls) {
    if (rule.method != aMethod || !aPath.starts_with(rule.pathPrefix)) {
      continue;
    }
    if (best == nullptr || rule.pathPrefix.size() > best->pathPrefix.size()) {
      best = &rule;
    }
  }
  return best != nullptr && best->repeatable;
}

} // namespace masticstep
