#pragma once

#include "Records.hpp"

#include <unordered_map>

namespace masticstep::soak {

// Events recorded by callers, engines, the operator and the harness. Not thread-safe: a run uses a
// single thread.
class History
{
public:
  // The Add functions with a result return the index of the record.
  std::size_t AddCall(CallRecord aCall);
  std::size_t AddArrival(ArrivalRecord aArrival);
  std::size_t AddRun(RunRecord aRun);
  void AddOrder(OrderRecord aOrder) { mOrders.push_back(std::move(aOrder)); }
  void AddRequestLimit(std::string aEngine, std::string aCallId, double aPerSecond, Time aAt)
  {
    mRequestLimits.push_back({ std::move(aEngine), std::move(aCallId), aPerSecond, aAt });
  }
  void AddConfiguration(ConfigurationRecord aRecord);
  void AddDrain(DrainRecord aDrain) { mDrains.push_back(std::move(aDrain)); }
  std::size_t AddStop(StopRecord aStop);
  std::size_t Disturb(Scope aScope, std::size_t aDaemon, Time aFrom);
  void EndDisturbance(std::size_t aIndex, Time aUntil);
  // Records a failure observed by the harness itself, such as an unexpected process exit.
  void AddProblem(std::string aText) { mProblems.push_back(std::move(aText)); }

  CallRecord& Call(std::size_t aIndex) { return mCalls[aIndex]; }
  ArrivalRecord& Arrival(std::size_t aIndex) { return mArrivals[aIndex]; }
  RunRecord& Run(std::size_t aIndex) { return mRuns[aIndex]; }
  StopRecord& Stop(std::size_t aIndex) { return mStops[aIndex]; }
  const CallRecord* FindCall(const std::string& aId) const;

  const std::vector<CallRecord>& Calls() const { return mCalls; }
  const std::vector<ArrivalRecord>& Arrivals() const { return mArrivals; }
  const std::vector<RunRecord>& Runs() const { return mRuns; }
  const std::vector<OrderRecord>& Orders() const { return mOrders; }
  const std::vector<ConfigurationRecord>& Configurations() const { return mConfigurations; }
  const std::vector<RequestLimitRecord>& RequestLimits() const { return mRequestLimits; }
  const std::vector<DrainRecord>& Drains() const { return mDrains; }
  const std::vector<StopRecord>& Stops() const { return mStops; }
  const std::vector<Disturbance>& Disturbances() const { return mDisturbances; }
  const std::vector<std::string>& Problems() const { return mProblems; }

  // Returns true if no fault or stop of the daemon and no fault of the store was active in the
  // interval.
  bool IsDaemonFaultFree(std::size_t aDaemon, Time aFrom, Time aUntil) const;
  // Returns true if no fault of any kind was active in the interval. A requested stop is not a
  // fault.
  bool IsSystemFaultFree(Time aFrom, Time aUntil) const;

private:
  std::vector<CallRecord> mCalls;
  std::unordered_map<std::string, std::size_t> mCallById;
  std::vector<ArrivalRecord> mArrivals;
  std::vector<RunRecord> mRuns;
  std::vector<OrderRecord> mOrders;
  std::vector<ConfigurationRecord> mConfigurations;
  std::vector<RequestLimitRecord> mRequestLimits;
  std::vector<DrainRecord> mDrains;
  std::vector<StopRecord> mStops;
  std::vector<Disturbance> mDisturbances;
  std::vector<std::string> mProblems;
};

} // namespace masticstep::soak
