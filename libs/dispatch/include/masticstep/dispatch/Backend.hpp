#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/config/SocketAddress.hpp"

#include <cstdint>
#include <string>

namespace masticstep::dispatch {

// Part of the work that an engine does.
enum class Stage : std::uint8_t
{
  Whole,   // plain services, and engines that do both parts
  Prefill, // reads prompts and hands their memory over
  Decode   // writes answers; reads prompts slowly
};

// One backend server as the platform's list describes it.
struct Backend
{
  BackendServerName id;
  ServiceName service;
  SocketAddress address;
  DataCentreName dataCentre;
  RegionName region;
  std::uint32_t slots = 1;
  bool isDraining = false;
  Stage stage = Stage::Whole;
  // Start of the backend server, in milliseconds of its own clock. Another value under the same id
  // is another incarnation, which knows nothing of the one before.
  std::int64_t startedAtMs = 0;

  bool operator==(const Backend&) const = default;
};

} // namespace masticstep::dispatch
