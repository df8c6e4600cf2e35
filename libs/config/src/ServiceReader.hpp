#pragma once

#include "masticstep/base/ObjectReader.hpp"
#include "masticstep/config/ClientAccount.hpp"
#include "masticstep/config/Service.hpp"

namespace masticstep {

// Reads the top-level object of a *.service.json file. Reports faults to the reader.
Service ReadService(ObjectReader& aReader);

// Reads the top-level object of an *.accounts.json file. Reports faults to the reader.
std::vector<ClientAccount> ReadAccounts(ObjectReader& aReader);

} // namespace masticstep
