#pragma once

#include "Records.hpp"

#include <unordered_map>

namespace masticstep::soak {

// All that callers, engines and the operator saw in a run. Filled by one thread.
class History
{
public:
  // Returns the index of the record.
  std::size_t AddCall(CallRecord aCall);
  std::size_t AddArrival(ArrivalRecord aArrival);
  std::size_t AddRun(RunRecord aRun);
  void AddOrder(OrderRecord aOrder) { mOrders.push_back(std::move(aOrder)); }
  void AddConfiguration(ConfigurationRecord aRecord);
  void AddLeave(LeaveRecord aLeave) { mLeaves.push_back(std::move(aLeave)); }
  std::size_t AddStop(StopRecord aStop);
  std::size_t Disturb(Scope aScope, std::size_t aDaemon, Time aFrom);
  void EndDisturbance(std::size_t aIndex, Time aUntil);
  // Something that must not happen and that the harness itself saw, such as a process that ended.
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
  const std::vector<LeaveRecord>& Leaves() const { return mLeaves; }
  const std::vector<StopRecord>& Stops() const { return mStops; }
  const std::vector<Disturbance>& Disturbances() const { return mDisturbances; }
  const std::vector<std::string>& Problems() const { return mProblems; }

  // True if no fault touched the daemon or the store in the span.
  bool IsCalm(std::size_t aDaemon, Time aFrom, Time aUntil) const;
  // True if no fault of any kind was on in the span. A requested stop is not a fault.
  bool IsQuiet(Time aFrom, Time aUntil) const;

private:
  std::vector<CallRecord> mCalls;
  std::unordered_map<std::string, std::size_t> mCallById;
  std::vector<ArrivalRecord> mArrivals;
  std::vector<RunRecord> mRuns;
  std::vector<OrderRecord> mOrders;
  std::vector<ConfigurationRecord> mConfigurations;
  std::vector<LeaveRecord> mLeaves;
  std::vector<StopRecord> mStops;
  std::vector<Disturbance> mDisturbances;
  std::vector<std::string> mProblems;
};

} // namespace masticstep::soak
