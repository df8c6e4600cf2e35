// Fuzz target of the readers of settings, service and accounts files.

#include "masticstep/config/Configuration.hpp"
#include "masticstep/config/Settings.hpp"

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string text(reinterpret_cast<const char*>(aData), aSize);
  const masticstep::Result<masticstep::Settings, masticstep::Faults> settings =
    masticstep::ParseSettings(text, "input");
  if (!settings.has_value() && settings.error().empty()) {
    std::abort(); // a refusal must say why
  }
  for (const char* name : { "a.service.json", "a.accounts.json" }) {
    const masticstep::Result<masticstep::Configuration, masticstep::Faults> result =
      masticstep::Configuration::Create(1, { { name, text } });
    if (!result.has_value() && result.error().empty()) {
      std::abort();
    }
  }
  return 0;
}
