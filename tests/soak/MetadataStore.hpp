#pragma once

#include "common/HttpServer.hpp"
#include "common/Signal.hpp"

#include <deque>
#include <map>

namespace masticstep::soak {

using standins::Awaitable;

struct StoreFaults
{
  bool isDown = false;   // calls get 503 and have no effect
  bool isSilent = false; // calls get no answer while this is on, and then a closed connection
  Duration latency = Milliseconds(4);
  std::int64_t lostAnswers = 0; // changes that take effect and whose connection is then closed
};

// Stand-in for the platform's metadata store, in its wire format.
class MetadataStore : public standins::HttpHandler
{
public:
  Awaitable<void> Handle(standins::Exchange& aExchange) override;

  // Changes of the operator and of the engines, which reach the store by themselves.
  void Put(const std::string& aKind, const std::string& aName, boost::json::value aContent);
  void Remove(const std::string& aKind, const std::string& aName);
  // Watches from before this moment get 410.
  void ForgetHistory();
  StoreFaults& Faults() { return mFaults; }
  // Must be called after a change of the faults.
  void OnFaults() { mChanged.NotifyAll(); }
  bool IsReachable() const { return !mFaults.isDown && !mFaults.isSilent; }

private:
  struct Object
  {
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    boost::json::value content;
  };
  struct Change
  {
    std::uint64_t revision = 0;
    std::string kind;
    boost::json::value event;
  };
  struct Target
  {
    std::string kind;
    std::string name;
  };

  Awaitable<void> Answer(standins::Exchange& aExchange, unsigned aStatus, boost::json::value aBody);
  Awaitable<void> List(standins::Exchange& aExchange, std::string aKind);
  Awaitable<void> Watch(standins::Exchange& aExchange, std::string aKind);
  Awaitable<void> Read(standins::Exchange& aExchange, Target aTarget);
  Awaitable<void> Create(standins::Exchange& aExchange, Target aTarget);
  Awaitable<void> Replace(standins::Exchange& aExchange, Target aTarget);
  Awaitable<void> Delete(standins::Exchange& aExchange, Target aTarget);
  Awaitable<void> EndChange(standins::Exchange& aExchange, unsigned aStatus,
                            boost::json::value aBody);
  // Returns the object's JSON text form for answers and events.
  boost::json::value Describe(const std::string& aKind, const std::string& aName) const;
  void Record(const std::string& aKind, boost::json::value aObject, bool aIsDeleted);
  boost::json::array EventsAfter(const std::string& aKind, std::uint64_t aRevision) const;

  std::map<std::string, std::map<std::string, Object>> mObjects;
  std::deque<Change> mHistory;
  std::uint64_t mRevision = 100;
  std::uint64_t mOldest = 100; // revision from which the history is known
  StoreFaults mFaults;
  standins::Signal mChanged;
};

} // namespace masticstep::soak
