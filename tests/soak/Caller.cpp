#include "Caller.hpp"

#include "Routes.hpp"
#include "common/Signal.hpp"
#include "common/TokenBucket.hpp"

#include <boost/asio/this_coro.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <cstdio>
#include <utility>

namespace masticstep::soak {

namespace http = boost::beast::http;
namespace asio = boost::asio;
using standins::ErrorCode;

namespace {

constexpr Duration kConnectTime = Seconds(1);
constexpr Duration kSendTime = Seconds(2);
// After its timeout a call must be answered at once.
constexpr Duration kOverdue = Seconds(3);
constexpr std::int64_t kShortestPauseMs = 10;
constexpr std::int64_t kLongestPauseMs = 60;
constexpr std::int64_t kPercent = 100;
constexpr std::int64_t kLeavesPercent = 4;
constexpr std::int64_t kNewConnectionPercent = 10;
constexpr std::int64_t kSmugglesPercent = 5;

http::request<http::string_body> RequestOf(const CallRecord& aCall, bool aSmuggles)
{
  http::request<http::string_body> request(http::verb::post, aCall.target, 11);
  request.set(http::field::host, kHost);
  request.set("Masticstep-Request-Attempt-Id", aCall.id);
  const std::int64_t left = (aCall.timeout + kBeyondTimeout) / Milliseconds(1);
  request.set("Masticstep-Deadline-Milliseconds", std::to_string(left));
  if (IsStream(aCall.kind)) {
    const std::size_t first = aCall.promptHeaders.find('|');
    const std::size_t second = aCall.promptHeaders.find('|', first + 1);
    request.set("Masticstep-Model", aCall.promptHeaders.substr(0, first));
    request.set("Masticstep-Token-Counts",
                aCall.promptHeaders.substr(first + 1, second - first - 1));
    request.set("Masticstep-Prompt-Prefix", aCall.promptHeaders.substr(second + 1));
  }
  if (aSmuggles) {
    // Only the system may set these.
    request.set("Masticstep-Kv-Hold", "x");
    request.set("Masticstep-Kv-Source", "127.0.0.1:1/x");
    request.set("Masticstep-Kv-Backup", "127.0.0.1:1");
  }
  request.body() = aCall.sentBody;
  request.prepare_payload();
  return request;
}

} // namespace

Caller::Caller(CallerRoom& aRoom, std::uint64_t aNumber, std::uint64_t aSeed)
  : mRoom(aRoom)
  , mNumber(aNumber)
  , mRandom(aSeed)
{
}

std::int64_t Caller::Between(std::int64_t aLeast, std::int64_t aMost)
{
  return aLeast +
         static_cast<std::int64_t>(mRandom() % static_cast<std::uint64_t>(aMost - aLeast + 1));
}

Awaitable<void> Caller::Run()
{
  while (!mRoom.isOver) {
    co_await standins::Pause(Milliseconds(Between(kShortestPauseMs, kLongestPauseMs)));
    if (!mConnection) {
      co_await Connect();
    }
    if (mConnection && !mRoom.isOver) {
      co_await Call();
    }
  }
  mConnection.reset();
}

Awaitable<void> Caller::Connect()
{
  const std::size_t daemon = mRoom.chooseDaemon(mRandom());
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  std::unique_ptr<Connection> connection(
    new Connection{ boost::beast::tcp_stream(executor), {}, daemon, false });
  connection->stream.expires_after(kConnectTime);
  const standins::Tcp::endpoint endpoint = standins::EndpointOf(mRoom.daemons[daemon]);
  ErrorCode ec;
  co_await connection->stream.async_connect(endpoint,
                                            asio::redirect_error(asio::use_awaitable, ec));
  if (!ec) {
    mConnection = std::move(connection);
  }
}

CallRecord Caller::NewCall()
{
  constexpr std::int64_t kKinds = 4;
  CallRecord call;
  char id[32];
  std::snprintf(id, sizeof(id), "%04x%08x", static_cast<unsigned>(mNumber),
                static_cast<unsigned>(++mCalls));
  call.id = id;
  call.kind = static_cast<CallKind>(Between(0, kKinds - 1));
  call.prefix = PrefixOf(call.kind);
  const bool probes = call.kind == CallKind::Lookup && !mRoom.newestPrefix.empty();
  if (probes && Between(0, 2) == 0) {
    call.prefix = mRoom.newestPrefix;
  }
  call.target = call.prefix + std::to_string(Between(1, 99));
  call.sentBody = std::string(static_cast<std::size_t>(Between(0, 300)), 'b') + call.id;
  call.timeout = TimeoutOf(call.kind);
  call.promptHeaders = "||";
  if (IsStream(call.kind)) {
    call.events = static_cast<std::uint32_t>(Between(4, 14));
    call.promptHeaders = "m|900," + std::to_string(call.events) + "|a" +
                         std::to_string(Between(1, 9)) + ":600," + call.id + ":300";
  }
  call.sentAt = standins::Now();
  call.daemon = mConnection->daemon;
  call.isOnKeptConnection = mConnection->isUsed;
  return call;
}

Awaitable<void> Caller::Call()
{
  const CallRecord call = NewCall();
  const std::size_t index = mRoom.history->AddCall(call);
  const bool smuggles = Between(1, kPercent) <= kSmugglesPercent;
  const bool leaves = Between(1, kPercent) <= kLeavesPercent;
  const http::request<http::string_body> request = RequestOf(call, smuggles);
  mConnection->isUsed = true;
  mConnection->stream.expires_after(kSendTime);
  ErrorCode ec;
  co_await http::async_write(mConnection->stream, request,
                             asio::redirect_error(asio::use_awaitable, ec));
  CallRecord& record = mRoom.history->Call(index);
  record.sentAt = standins::Now();
  if (ec) {
    record.ending = Ending::NotSent;
    record.endedAt = record.sentAt;
    mConnection.reset();
    co_return;
  }
  const Duration patience = leaves ? Milliseconds(Between(1, 80)) : call.timeout + kOverdue;
  co_await ReadAnswer(index, patience, leaves);
}

Awaitable<void> Caller::ReadAnswer(std::size_t aCall, Duration aPatience, bool aLeaves)
{
  http::response_parser<http::string_body> parser;
  mConnection->stream.expires_after(aPatience);
  ErrorCode ec;
  co_await http::async_read(mConnection->stream, mConnection->buffer, parser,
                            asio::redirect_error(asio::use_awaitable, ec));
  CallRecord& record = mRoom.history->Call(aCall);
  record.endedAt = standins::Now();
  if (parser.is_header_done()) {
    record.status = parser.get().result_int();
    record.stamp = std::string(parser.get()["Masticstep-Response-Stamp"]);
    record.body = parser.get().body();
  }
  if (!ec) {
    record.ending = Ending::Answered;
    record.hasExtraBytes = mConnection->buffer.size() > 0;
  } else if (ec == boost::beast::error::timeout) {
    record.ending = aLeaves ? Ending::Left : Ending::TimedOut;
  } else if (!mRoom.isOver) {
    record.ending = Ending::Cut;
  }
  if (ec || !parser.keep_alive() || Between(1, kPercent) <= kNewConnectionPercent) {
    mConnection.reset();
  }
}

} // namespace masticstep::soak
