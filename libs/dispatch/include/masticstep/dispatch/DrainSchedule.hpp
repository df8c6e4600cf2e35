#pragma once

#include "masticstep/base/Time.hpp"

namespace masticstep::dispatch {

// Course of a daemon's planned stop. A request reaches a backend server for the first time only if
// the load balancer may still send requests or if the request ends before the daemon does.
class DrainSchedule
{
public:
  // aGrace is the time from the stop signal until the process must have exited.
  static DrainSchedule Create(Time aBegin, Duration aGrace);

  // The load balancer has stopped sending requests, so the listener closes.
  Time ListenerEnd() const { return mListenerEnd; }
  // Requests that still run are ended with an answer.
  Time FinalAnswers() const { return mFinalAnswers; }
  Time Exit() const { return mExit; }
  // Returns whether a request that no backend server has got may be passed on. Otherwise its caller
  // is better off at another daemon.
  bool MayBegin(Time aNow, Time aDeadline) const;

  bool operator==(const DrainSchedule&) const = default;

private:
  DrainSchedule() = default;

  Time mListenerEnd;
  Time mFinalAnswers;
  Time mExit;
};

} // namespace masticstep::dispatch
