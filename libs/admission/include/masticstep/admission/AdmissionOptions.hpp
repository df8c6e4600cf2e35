#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace masticstep::admission {

// Queue of one class; the fields have the names of the service file.
struct ClassLimits
{
  ServiceName service;
  ClassName name;
  // A class gets room in proportion to priority + 1, so a low one waits longer but never for ever.
  std::uint8_t priority = 0;
  std::size_t queueLimit = 64;
};

// Limits of one client account; the fields have the names of the accounts file.
struct AccountLimits
{
  AccountName name;
  double weight = 1.0;
  double tokensPerSecond = 0.0; // 0 is no limit
  double burstTokens = 0.0;
};

struct AdmissionOptions
{
  std::vector<ClassLimits> classes;
  std::vector<AccountLimits> accounts;
  // Share of a class's queue that one account may hold.
  double accountQueueShare = 0.25;
  // Tokens that an account of weight 1 gets in one round, about one request.
  double quantumTokens = 1000.0;
};

} // namespace masticstep::admission
