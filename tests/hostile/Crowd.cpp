#include "Crowd.hpp"

#include "support/Process.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <stdexcept>
#include <utility>

namespace masticstep::hostile {

namespace {

constexpr int kPollMilliseconds = 100;
constexpr std::size_t kPieceBytes = 65536;

int Connect(const standins::Address& aServer)
{
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aServer.port);
  inet_pton(AF_INET, aServer.host.c_str(), &address.sin_addr);
  if (connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    close(descriptor);
    throw std::runtime_error("cannot connect to " + aServer.Text());
  }
  fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
  return descriptor;
}

// Returns the bytes of the script from an offset on, at most one piece.
std::string PieceAt(const Script& aScript, std::size_t aOffset)
{
  if (aOffset < aScript.first.size()) {
    return aScript.first.substr(aOffset);
  }
  const std::size_t within = (aOffset - aScript.first.size()) % aScript.repeated.size();
  const std::size_t left = aScript.Size() - aOffset;
  std::string piece = aScript.repeated.substr(within);
  while (piece.size() < std::min(left, kPieceBytes)) {
    piece += aScript.repeated;
  }
  return piece.substr(0, std::min(left, kPieceBytes));
}

} // namespace

Crowd::Crowd(const standins::Address& aServer, std::vector<Script> aScripts)
{
  for (Script& script : aScripts) {
    Caller caller;
    caller.script = std::move(script);
    caller.socket = Connect(aServer);
    mCallers.push_back(std::move(caller));
  }
}

Crowd::~Crowd()
{
  for (const Caller& caller : mCallers) {
    close(caller.socket);
  }
}

void Crowd::SendSome(Caller& aCaller)
{
  const std::string piece = PieceAt(aCaller.script, aCaller.sent);
  const ssize_t n = send(aCaller.socket, piece.data(), piece.size(), MSG_NOSIGNAL);
  if (n >= 0) {
    aCaller.sent += static_cast<std::size_t>(n);
    aCaller.isDone = aCaller.sent == aCaller.script.Size();
  } else if (errno != EAGAIN && errno != EINTR) {
    aCaller.isDone = true;
  }
}

bool Crowd::Send(Duration aLimit)
{
  const Time end = integration::ClockNow() + aLimit;
  while (integration::ClockNow() < end) {
    std::vector<pollfd> waiting;
    std::vector<Caller*> callers;
    for (Caller& caller : mCallers) {
      if (!caller.isDone) {
        waiting.push_back({ caller.socket, POLLOUT, 0 });
        callers.push_back(&caller);
      }
    }
    if (waiting.empty()) {
      return true;
    }
    poll(waiting.data(), waiting.size(), kPollMilliseconds);
    for (std::size_t i = 0; i < waiting.size(); ++i) {
      if (waiting[i].revents != 0) {
        SendSome(*callers[i]);
      }
    }
  }
  return false;
}

std::size_t Crowd::SentBytes() const
{
  std::size_t bytes = 0;
  for (const Caller& caller : mCallers) {
    bytes += caller.sent;
  }
  return bytes;
}

} // namespace masticstep::hostile
