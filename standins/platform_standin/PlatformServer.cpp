#include "platform_standin/PlatformServer.hpp"

#include "common/JsonFields.hpp"

#include <algorithm>
#include <charconv>

namespace masticstep::standins {

namespace {

constexpr std::size_t kMaxObjectBytes = 1U << 20U; // the platform stores values of up to a megabyte
constexpr std::string_view kObjectPath = "/objects/";
constexpr std::int64_t kMaxWatchMs = 60000;

std::string QuotedETag(std::uint64_t aVersion)
{
  return "\"" + std::to_string(aVersion) + "\"";
}

boost::json::value ItemsJson(std::uint64_t aRevision, const std::vector<ListedObject>& aItems)
{
  boost::json::array items;
  for (const ListedObject& item : aItems) {
    boost::json::object entry{ { "key", item.key }, { "version", item.version } };
    if (item.isDeleted) {
      entry["deleted"] = true;
    }
    items.emplace_back(std::move(entry));
  }
  return { { "revision", aRevision }, { "items", std::move(items) } };
}

WriteCondition ParseCondition(const Exchange& aExchange)
{
  WriteCondition condition;
  condition.mustBeAbsent = aExchange.HeaderValue("If-None-Match") == "*";
  const std::string match = aExchange.HeaderValue("If-Match");
  if (!match.empty()) {
    std::uint64_t version = 0;
    const std::size_t start = match.front() == '"' ? 1 : 0;
    std::from_chars(match.data() + start, match.data() + match.size(), version);
    condition.version = version;
  }
  return condition;
}

} // namespace

PlatformServer::PlatformServer(const PlatformFaults& aFaults)
  : mFaults(aFaults)
  , mWriteBucket(aFaults.writesPerSecond)
  , mReadBucket(aFaults.readsPerSecond)
{
}

Awaitable<void> PlatformServer::Handle(Exchange& aExchange)
{
  if (aExchange.Path().starts_with("/standin/")) {
    co_await HandleControl(aExchange);
    co_return;
  }
  while (mFaults.silent) {
    co_await mChanged.WaitFor(Seconds(1));
  }
  const bool isWrite = aExchange.Method() == "PUT" || aExchange.Method() == "DELETE";
  const unsigned rejectStatus = Admit(isWrite);
  if (rejectStatus != 0) {
    co_await Reject(aExchange, rejectStatus);
    co_return;
  }
  co_await Pause(mFaults.latency / 2);
  co_await HandleCall(aExchange);
}

Awaitable<void> PlatformServer::HandleCall(Exchange& aExchange)
{
  const std::string& path = aExchange.Path();
  const std::string& method = aExchange.Method();
  const std::string key =
    path.starts_with(kObjectPath) ? path.substr(kObjectPath.size()) : std::string();
  if (!key.empty() && method == "GET") {
    co_await Get(aExchange, key);
  } else if (!key.empty() && (method == "PUT" || method == "DELETE")) {
    co_await WriteOrDelete(aExchange, key);
  } else if (path == "/objects" && method == "GET") {
    co_await List(aExchange);
  } else if (path == "/watch" && method == "GET") {
    co_await Watch(aExchange);
  } else {
    co_await aExchange.ReplyError(400, "bad_request", "unknown call: " + method + " " + path);
  }
}

unsigned PlatformServer::Admit(bool aIsWrite)
{
  (aIsWrite ? mCounters.writes : mCounters.reads) += 1;
  if (mFaults.outage) {
    ++mCounters.outageRefusals;
    return 503;
  }
  if (!(aIsWrite ? mWriteBucket : mReadBucket).Take(Now())) {
    ++mCounters.rateRefusals;
    return 429;
  }
  return 0;
}

Awaitable<void> PlatformServer::Reject(Exchange& aExchange, unsigned aStatus)
{
  const bool isOutage = aStatus == 503;
  co_await aExchange.ReplyError(aStatus, isOutage ? "outage" : "rate",
                                isOutage ? "platform is down" : "too many calls");
}

Awaitable<void> PlatformServer::Get(Exchange& aExchange, const std::string& aKey)
{
  const std::optional<StoredObject> object = mTable.Read(aKey);
  co_await Pause(mFaults.latency / 2);
  if (!object) {
    co_await aExchange.ReplyError(404, "not_found", "no object " + aKey);
    co_return;
  }
  std::vector<Header> headers;
  headers.push_back({ "ETag", QuotedETag(object->version) });
  co_await aExchange.Reply(200, object->body, std::move(headers));
}

Awaitable<void> PlatformServer::List(Exchange& aExchange)
{
  const std::vector<ListedObject> items = mTable.List(aExchange.Parameter("prefix"));
  boost::json::value body = ItemsJson(mTable.Revision(), items);
  co_await Pause(mFaults.latency / 2);
  co_await aExchange.ReplyJson(200, std::move(body));
}

Awaitable<void> PlatformServer::Watch(Exchange& aExchange)
{
  ++mCounters.watches;
  const std::string prefix = aExchange.Parameter("prefix");
  const std::uint64_t after = static_cast<std::uint64_t>(aExchange.IntegerParameter("after", 0));
  const std::int64_t span =
    std::clamp<std::int64_t>(aExchange.IntegerParameter("timeout_ms", 0), 0, kMaxWatchMs);
  const Time deadline = Now() + Milliseconds(span);
  std::vector<ListedObject> items = mTable.ChangesAfter(prefix, after);
  while (items.empty() && Now() < deadline && !mFaults.outage) {
    co_await mChanged.WaitFor(deadline - Now());
    items = mTable.ChangesAfter(prefix, after);
  }
  if (mFaults.outage) {
    ++mCounters.outageRefusals;
    co_await Reject(aExchange, 503);
    co_return;
  }
  boost::json::value body = ItemsJson(mTable.Revision(), items);
  co_await Pause(mFaults.latency / 2);
  co_await aExchange.ReplyJson(200, std::move(body));
}

Awaitable<void> PlatformServer::WriteOrDelete(Exchange& aExchange, const std::string& aKey)
{
  if (aExchange.Body().size() > kMaxObjectBytes) {
    co_await aExchange.ReplyError(413, "too_large", "object exceeds the limit of 1 MiB");
    co_return;
  }
  mCounters.largestObject =
    std::max<std::uint64_t>(mCounters.largestObject, aExchange.Body().size());
  const WriteCondition condition = ParseCondition(aExchange);
  const std::optional<std::uint64_t> version = aExchange.Method() == "PUT"
                                                 ? mTable.Write(aKey, aExchange.Body(), condition)
                                                 : mTable.Delete(aKey, condition);
  if (version) {
    mChanged.NotifyAll();
  } else {
    ++mCounters.conflicts;
  }
  co_await Pause(mFaults.latency / 2);
  if (mFaults.loseAnswers > 0) {
    --mFaults.loseAnswers;
    ++mCounters.lostAnswers;
    aExchange.Drop();
    co_return;
  }
  if (!version) {
    co_await aExchange.ReplyError(412, "conflict", "precondition not met for " + aKey);
    co_return;
  }
  std::vector<Header> headers;
  headers.push_back({ "ETag", QuotedETag(*version) });
  co_await aExchange.Reply(200, "{}", std::move(headers));
}

Awaitable<void> PlatformServer::HandleControl(Exchange& aExchange)
{
  if (aExchange.Path() == "/standin/counters") {
    boost::json::value body = CountersJson();
    co_await aExchange.ReplyJson(200, std::move(body));
    co_return;
  }
  const std::optional<boost::json::object> body = aExchange.JsonBody();
  if (aExchange.Path() != "/standin/faults" || !body) {
    co_await aExchange.ReplyError(400, "bad_request",
                                  "POST /standin/faults requires a JSON object");
    co_return;
  }
  ApplyFaults(*body);
  mChanged.NotifyAll();
  co_await aExchange.Reply(200, "{}");
}

void PlatformServer::ApplyFaults(const boost::json::object& aBody)
{
  mFaults.outage = BooleanField(aBody, "outage", mFaults.outage);
  mFaults.silent = BooleanField(aBody, "silent", mFaults.silent);
  mFaults.latency =
    Milliseconds(IntegerField(aBody, "latency_ms", mFaults.latency / Milliseconds(1)));
  mFaults.loseAnswers = IntegerField(aBody, "lose_answers", mFaults.loseAnswers);
  mFaults.writesPerSecond = NumberField(aBody, "writes_per_s", mFaults.writesPerSecond);
  mFaults.readsPerSecond = NumberField(aBody, "reads_per_s", mFaults.readsPerSecond);
  mWriteBucket.SetRate(mFaults.writesPerSecond);
  mReadBucket.SetRate(mFaults.readsPerSecond);
}

boost::json::value PlatformServer::CountersJson() const
{
  return { { "reads", mCounters.reads },
           { "writes", mCounters.writes },
           { "watches", mCounters.watches },
           { "conflicts", mCounters.conflicts },
           { "rate_refusals", mCounters.rateRefusals },
           { "outage_refusals", mCounters.outageRefusals },
           { "lost_answers", mCounters.lostAnswers },
           { "largest_object", mCounters.largestObject },
           { "objects", mTable.Count() },
           { "revision", mTable.Revision() } };
}

} // namespace masticstep::standins
