#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/config/SocketAddress.hpp"

#include <cstdint>
#include <string>

namespace masticstep::dispatch {

// Phase of LLM inference that an engine serves.
enum class Stage : std::uint8_t
{
  Whole,   // plain services, and engines that run both phases
  Prefill, // processes prompts and exports their KV cache
  Decode   // generates answers; processes prompts more slowly
};

// A backend server as registered in the platform's store.
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
  bool isInterruptible = false; // cheaper; the platform may take it away at short notice
  // Start time by the backend server's own clock. A different value under the same id means that
  // the server was restarted and has lost its state.
  std::int64_t startedAtMs = 0;
  // Version of the server's software, not of its model weights. Empty if the entry names none.
  SoftwareVersion softwareVersion;

  bool operator==(const Backend&) const = default;
};

} // namespace masticstep::dispatch
