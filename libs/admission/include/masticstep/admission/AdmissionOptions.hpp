#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace masticstep::admission {

// Queue limits of one class. The fields are named as in the service file.
struct ClassLimits
{
  ServiceName service;
  ClassName name;
  // A class gets capacity in proportion to priority + 1, so a class of low priority waits longer
  // but does not starve.
  std::uint8_t priority = 0;
  std::size_t queueLimit = 64;
};

// Limits of one client account. The fields are named as in the accounts file.
struct AccountLimits
{
  AccountName name;
  double weight = 1.0;
  double tokensPerSecond = 0.0; // 0 means unlimited
  double burstTokens = 0.0;
};

struct AdmissionOptions
{
  std::vector<ClassLimits> classes;
  std::vector<AccountLimits> accounts;
  // Maximum fraction of a class's queue that one account may occupy.
  double accountQueueShare = 0.25;
  // Deficit round robin quantum of an account of weight 1, about one request.
  double quantumTokens = 1000.0;
};

} // namespace masticstep::admission
