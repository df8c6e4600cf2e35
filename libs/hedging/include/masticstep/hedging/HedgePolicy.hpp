#pragma once

#include "masticstep/base/Time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace masticstep::hedging {

struct HedgeOptions
{
  // Second tries for each request that may be repeated, at most. Zero turns them off.
  double share = 0.0;

  bool operator==(const HedgeOptions&) const = default;
};

// Why a second try was not sent, although the first one was slow.
enum class Withheld : std::uint8_t
{
  None,
  Budget,    // the share is used up
  AllSlow,   // too many requests are slow; another server would be as slow
  Unmeasured // too few answers of this kind of request are known
};

// Decides when a request that may be repeated is sent to a second server, because the first one is
// slow (a hedged request). The delay is a multiple of the median of the latest times to the answer,
// for each kind of request. Each daemon keeps to the share of its own requests, so that all daemons
// together do, without any message.
//
// Load: one slow server among several, or a tenth of them: the slowest answers are cut. When all
// servers are slow, a large part of the requests is, and none gets a second try,
// which would only add to the load.
class HedgePolicy
{
public:
  explicit HedgePolicy(HedgeOptions aOptions = {});

  bool IsOn() const { return mOptions.share > 0.0; }
  // A request was sent to its first server. Returns the time after which it is slow; nothing if
  // that is not known yet.
  std::optional<Duration> OnSent(const std::string& aKind);
  // The time after which the request is slow has passed. Returns None if a second try may be sent,
  // and then takes it from the share.
  Withheld OnSlow(const std::string& aKind);
  // The request was answered, or ended in another way with no latency.
  void OnEnd(const std::string& aKind, bool aWasSlow, std::optional<Duration> aLatency);

private:
  static constexpr std::size_t kSamples = 128;

  struct Kind
  {
    std::vector<Duration> latencies; // the latest, in a ring
    std::size_t next = 0;
    double slowShare = 0.0; // moving average over the latest requests
  };

  std::optional<Duration> DelayOf(const Kind& aKind) const;

  HedgeOptions mOptions;
  std::map<std::string, Kind> mKinds;
  double mAllowance = 0.0; // second tries that may be sent now
};

} // namespace masticstep::hedging
