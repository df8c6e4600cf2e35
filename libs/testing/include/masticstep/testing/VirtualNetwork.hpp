#pragma once

#include "masticstep/base/Random.hpp"
#include "masticstep/base/Time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace masticstep::testing {

// State machine without I/O that takes part in a virtual-time run.
template <class Message>
class VirtualNode
{
public:
  using Outgoing = std::vector<std::pair<std::string, Message>>; // destination, message
  virtual ~VirtualNode() = default;
  virtual Outgoing OnMessage(const std::string& aFrom, const Message& aMessage, Time aNow) = 0;
  virtual Outgoing OnTime(Time aNow) = 0;
  virtual std::optional<Time> NextWakeUp() const = 0;
};

// Queue of timed messages between nodes on one virtual clock, with delay, loss, one-way cuts,
// pauses and kills. The same seed gives the same run.
template <class Message>
class VirtualNetwork
{
public:
  using Node = VirtualNode<Message>;
  using Outgoing = typename Node::Outgoing;

  explicit VirtualNetwork(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  // Hooks; the defaults are 1 ms of delay, no loss and no cut. Each gets sender and receiver.
  std::function<Duration(const std::string&, const std::string&, const Message&)> mDelay =
    [](const std::string&, const std::string&, const Message&) { return Milliseconds(1); };
  std::function<bool(const std::string&, const std::string&)> mIsCut =
    [](const std::string&, const std::string&) { return false; };
  std::function<void(const std::string&, const std::string&, const Message&)> mOnSend =
    [](const std::string&, const std::string&, const Message&) {};
  double mLoss = 0.0;

  Time Now() const { return mNow; }

  // The nodes are owned by the caller. aOutgoing is what the node sends on starting.
  void Add(const std::string& aAddress, Node& aNode, Outgoing aOutgoing)
  {
    mNodes[aAddress] = &aNode;
    Send(aAddress, std::move(aOutgoing));
  }
  void Kill(const std::string& aAddress) { mNodes.erase(aAddress); }
  // Messages to a paused node wait, as in the buffers of its connections.
  void Pause(const std::string& aAddress, Duration aSpan) { mPausedUntil[aAddress] = mNow + aSpan; }
  // Sends what a call outside of the run returned, such as a publication.
  void Send(const std::string& aFrom, Outgoing aOutgoing)
  {
    for (std::pair<std::string, Message>& item : aOutgoing) {
      mOnSend(aFrom, item.first, item.second);
      if (mRandom.Chance(mLoss) || mIsCut(aFrom, item.first)) {
        continue;
      }
      const Time at = mNow + mDelay(aFrom, item.first, item.second);
      mQueue.push({ at, mOrder++, aFrom, item.first, std::move(item.second) });
    }
    ScheduleWakeUp(aFrom);
  }
  void RunFor(Duration aSpan) { RunUntil(mNow + aSpan); }
  void RunUntil(Time aEnd)
  {
    while (!mQueue.empty() && mQueue.top().at <= aEnd) {
      Event event = mQueue.top();
      mQueue.pop();
      mNow = event.at;
      Handle(std::move(event));
    }
    mNow = aEnd;
  }

private:
  struct Event
  {
    Time at;
    std::uint64_t order = 0;
    std::string from; // empty: a wake-up
    std::string to;
    Message message;

    bool operator<(const Event& aOther) const // the queue gives the largest first
    {
      return std::pair(at, order) > std::pair(aOther.at, aOther.order);
    }
  };

  void Handle(Event aEvent)
  {
    const typename std::map<std::string, Node*>::iterator it = mNodes.find(aEvent.to);
    if (it == mNodes.end()) {
      return;
    }
    const std::map<std::string, Time>::iterator paused = mPausedUntil.find(aEvent.to);
    if (paused != mPausedUntil.end() && mNow < paused->second) {
      aEvent.at = paused->second;
      mQueue.push(std::move(aEvent));
      return;
    }
    if (!aEvent.from.empty()) {
      Send(aEvent.to, it->second->OnMessage(aEvent.from, aEvent.message, mNow));
      return;
    }
    mScheduled.erase({ aEvent.to, aEvent.at });
    const std::optional<Time> due = it->second->NextWakeUp();
    if (due && *due <= mNow) {
      Send(aEvent.to, it->second->OnTime(mNow));
    }
  }
  void ScheduleWakeUp(const std::string& aAddress)
  {
    const typename std::map<std::string, Node*>::iterator it = mNodes.find(aAddress);
    const std::optional<Time> due = it == mNodes.end() ? std::nullopt : it->second->NextWakeUp();
    if (!due) {
      return;
    }
    const Time at = std::max(*due, mNow);
    if (mScheduled.insert({ aAddress, at }).second) {
      mQueue.push({ at, mOrder++, {}, aAddress, {} });
    }
  }

  Random mRandom;
  std::map<std::string, Node*> mNodes;
  std::map<std::string, Time> mPausedUntil;
  std::set<std::pair<std::string, Time>> mScheduled;
  std::priority_queue<Event> mQueue;
  std::uint64_t mOrder = 0;
  Time mNow = Time{ Seconds(1000) };
};

} // namespace masticstep::testing
