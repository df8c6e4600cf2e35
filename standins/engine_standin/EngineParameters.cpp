#include "engine_standin/EngineParameters.hpp"

namespace masticstep::standins {

std::string ToString(EngineRole aRole)
{
  switch (aRole) {
    case EngineRole::Prefill:
      return "prefill";
    case EngineRole::Decode:
      return "decode";
    case EngineRole::Mixed:
      break;
  }
  return "mixed";
}

bool ParseRole(const std::string& aText, EngineRole& aRole)
{
  for (const EngineRole role : { EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode }) {
    if (ToString(role) == aText) {
      aRole = role;
      return true;
    }
  }
  return false;
}

RoleLimits LimitsOf(EngineRole aRole)
{
  switch (aRole) {
    case EngineRole::Prefill:
      return { 1024, 16 };
    case EngineRole::Decode:
      return { 128, 256 };
    case EngineRole::Mixed:
      break;
  }
  return { 512, 128 };
}

} // namespace masticstep::standins
