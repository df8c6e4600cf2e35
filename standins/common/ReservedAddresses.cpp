#include "common/ReservedAddresses.hpp"

#include "common/Asio.hpp"

#include <atomic>
#include <stdexcept>
#include <string>

#include <unistd.h>

namespace masticstep::standins {

namespace {

constexpr int kSecondOctets = 126;
constexpr int kThirdOctets = 254;
constexpr int kFirstPort = 20000;
constexpr int kPorts = 12000; // up to 31999; outgoing connections begin at 32768

std::string ProcessHost()
{
  const int pid = getpid();
  return "127." + std::to_string(1 + pid / kThirdOctets % kSecondOctets) + "." +
         std::to_string(1 + pid % kThirdOctets) + ".1";
}

// A process that ended long ago may have had the same address, with programs that still run.
bool IsFree(const Address& aAddress)
{
  asio::io_context context;
  Tcp::acceptor acceptor(context);
  boost::system::error_code ec;
  acceptor.open(Tcp::v4(), ec);
  acceptor.bind({ asio::ip::make_address(aAddress.host), aAddress.port }, ec);
  return !ec;
}

} // namespace

std::vector<Address> ReserveAddresses(std::size_t aCount)
{
  static std::atomic<int> next{ 0 };
  const std::string host = ProcessHost();
  std::vector<Address> addresses;
  while (addresses.size() < aCount) {
    const int offset = next++;
    if (offset >= kPorts) {
      throw std::runtime_error("no addresses are left on " + host);
    }
    const Address address{ host, static_cast<std::uint16_t>(kFirstPort + offset) };
    if (IsFree(address)) {
      addresses.push_back(address);
    }
  }
  return addresses;
}

} // namespace masticstep::standins
