#include "StallingPeer.hpp"
#include "TlsCredentials.hpp"
#include "masticstep/net/HostPort.hpp"
#include "masticstep/net/WorkerPool.hpp"
#include "masticstep/peering/Peering.hpp"
#include "masticstep/testing/Test.hpp"
#include "masticstep/testing/TestAuthority.hpp"
#include "masticstep/wire/FrameCodec.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <functional>
#include <thread>

using namespace masticstep;
using boost::asio::ip::tcp;
using testing::TestAuthority;

namespace {

net::TlsFiles Issue(const TestAuthority& aAuthority, const std::string& aName, long aSerial,
                    int aDays)
{
  const testing::CertificateFiles files = aAuthority.Issue(aName, aSerial, aDays);
  return { files.certificate, files.key, files.authority };
}

// Waits until other threads make the condition true; the limit of 30 s is only reached in a
// failing test.
bool Eventually(const std::function<bool()>& aCondition)
{
  for (int i = 0; i < 3000; ++i) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

PeeringSettings MakeSettings(const std::string& aName, const std::vector<std::string>& aSeeds)
{
  PeeringSettings settings;
  settings.host = HostName(aName);
  settings.region = RegionName("regina");
  settings.dataCentre = DataCentreName("regina-a");
  settings.address = "127.0.0.1:0";
  settings.seeds = aSeeds;
  return settings;
}

std::unique_ptr<Peering> StartPeering(net::WorkerPool& aPool, PeeringSettings aSettings,
                                      PeeringEvents aEvents = {})
{
  Result<std::unique_ptr<Peering>, PeeringError> peering =
    Peering::Create(aPool.Context(), std::move(aSettings), std::move(aEvents));
  CPPUNIT_ASSERT_MESSAGE(peering ? "" : peering.error().message, peering.has_value());
  (*peering)->Start();
  return *std::move(peering);
}

tcp::endpoint ParseEndpoint(const std::string& aAddress)
{
  const net::HostPort address = *net::HostPort::Parse(aAddress);
  return { boost::asio::ip::make_address(address.host), address.port };
}

// Connects with TLS, sends a Hello and returns the number of application bytes received before
// the daemon closes the connection; 0 if the handshake fails.
std::size_t BytesReceived(const std::string& aAddress, boost::asio::ssl::context& aContext)
{
  boost::asio::io_context context;
  boost::asio::ssl::stream<tcp::socket> stream(context, aContext);
  boost::system::error_code ec;
  stream.next_layer().connect(ParseEndpoint(aAddress), ec);
  stream.handshake(boost::asio::ssl::stream_base::client, ec);
  if (ec) {
    return 0;
  }
  boost::asio::write(stream, boost::asio::buffer(EncodeHello("127.0.0.1:1")), ec);
  std::array<char, 1024> buf{};
  return boost::asio::read(stream, boost::asio::buffer(buf), boost::asio::transfer_at_least(1), ec);
}

// Returns the serial number of the certificate that the daemon presents.
long PresentedSerial(const std::string& aAddress, const net::TlsFiles& aFiles)
{
  boost::asio::io_context context;
  boost::asio::ssl::stream<tcp::socket> stream(context,
                                               (*net::TlsContext::CreateClient(aFiles))->Native());
  boost::system::error_code ec;
  stream.next_layer().connect(ParseEndpoint(aAddress), ec);
  stream.handshake(boost::asio::ssl::stream_base::client, ec);
  X509* presented = SSL_get1_peer_certificate(stream.native_handle());
  const long serial = presented == nullptr ? 0 : ASN1_INTEGER_get(X509_get_serialNumber(presented));
  X509_free(presented);
  return serial;
}

} // namespace

// Guards against faults that tests in virtual time cannot find: in links, frames, callbacks,
// publication and leaving over real sockets.
MASTICSTEP_TEST("three daemons converge over loopback and learn that one leaves", "[peering]")
{
  net::WorkerPool pool(2);
  std::atomic<bool> hasLeft = false;
  std::atomic<std::uint64_t> generation = 0;
  PeeringEvents events;
  events.onMember = [&hasLeft](const MemberRecord& aMember) {
    hasLeft = hasLeft || aMember.state == MemberState::Left;
  };
  events.onConfiguration = [&generation](const ConfigurationBundle& aBundle) {
    generation = aBundle.generation;
  };
  const std::unique_ptr<Peering> a = StartPeering(pool, MakeSettings("a", {}), events);
  const std::unique_ptr<Peering> b = StartPeering(pool, MakeSettings("b", { a->Address() }));
  const std::unique_ptr<Peering> c = StartPeering(pool, MakeSettings("c", { a->Address() }));
  const auto count = [&](std::size_t aMembers) {
    return a->Members().size() == aMembers && b->Members().size() == aMembers &&
           c->Members().size() == aMembers;
  };
  CHECK_TRUE(Eventually([&] { return count(3); }));
  const EntryKey drain{ EntryKind::Drain, "draft-1" };
  c->Publish(drain, "draining");
  CHECK_TRUE(Eventually([&] { return a->Find(drain) && b->Find(drain); }));
  CHECK_EQUAL("c", a->Find(drain)->owner.Text());
  ConfigurationBundle bundle;
  bundle.generation = 4;
  bundle.manifest = "manifest";
  c->PublishConfiguration(bundle);
  CHECK_TRUE(Eventually([&] { return generation == 4U; }));
  CHECK_EQUAL("manifest", a->Configuration().manifest);
  c->Leave();
  CHECK_TRUE(Eventually([&] { return count(2) && hasLeft; }));
  CHECK_TRUE(a->Counters().links > 0U && a->Counters().linksRefused == 0U);
  pool.Stop();
}

// Guards against an unauthenticated client that reads members, load or configuration.
MASTICSTEP_TEST("a peer without a valid certificate receives no data", "[peering][tls]")
{
  const TestAuthority authority;
  const TestAuthority foreignAuthority;
  net::WorkerPool pool(2);
  PeeringSettings settings = MakeSettings("a", {});
  settings.tls = Issue(authority, "a", 10, 30);
  const std::unique_ptr<Peering> a = StartPeering(pool, settings);
  settings = MakeSettings("b", { a->Address() });
  settings.tls = Issue(authority, "b", 11, 30);
  const std::unique_ptr<Peering> b = StartPeering(pool, settings);
  CHECK_TRUE(Eventually([&] { return a->Members().size() == 2U && b->Members().size() == 2U; }));

  const net::TlsFiles foreignFiles = Issue(foreignAuthority, "x", 12, 30);
  boost::asio::ssl::context withoutCertificate(boost::asio::ssl::context::tls_client);
  boost::asio::ssl::context withForeignCertificate(boost::asio::ssl::context::tls_client);
  withForeignCertificate.use_certificate_chain_file(foreignFiles.certificate);
  withForeignCertificate.use_private_key_file(foreignFiles.key, boost::asio::ssl::context::pem);
  CHECK_EQUAL(0U, BytesReceived(a->Address(), withoutCertificate));
  CHECK_EQUAL(0U, BytesReceived(a->Address(), withForeignCertificate));
  const std::shared_ptr<net::TlsContext> valid =
    *net::TlsContext::CreateClient(Issue(authority, "c", 13, 30));
  // With a valid certificate, data is received; this shows that BytesReceived can return more than
  // 0.
  CHECK_TRUE(BytesReceived(a->Address(), valid->Native()) > 0U);

  // A daemon with a certificate of another authority does not become a member, and neither side
  // learns of the members of the other.
  settings = MakeSettings("x", { a->Address() });
  settings.tls = foreignFiles;
  const std::unique_ptr<Peering> foreignDaemon = StartPeering(pool, settings);
  CHECK_TRUE(Eventually([&] { return a->Counters().linksRefused >= 3U; }));
  CHECK_EQUAL(1U, foreignDaemon->Members().size());
  for (const MemberRecord& member : a->Members()) {
    CHECK_TRUE(member.name != HostName("x"));
  }
  pool.Stop();
}

// Guards against keeping a connection that stays open but delivers no data.
MASTICSTEP_TEST("an unresponsive link is replaced", "[peering][failure]")
{
  net::WorkerPool pool(2);
  StallingPeer peer;
  const std::unique_ptr<Peering> a = StartPeering(pool, MakeSettings("a", { peer.Address() }));
  CHECK_TRUE(Eventually([&] { return a->Members().size() == 2U; }));
  CHECK_TRUE(Eventually([&] { return peer.Accepted() >= 2; }));
  CHECK_TRUE(Eventually([&] { return a->Counters().linksDropped >= 1U; }));
  // The peer responds on the new link, so it stays alive.
  CHECK_TRUE(Eventually([&] {
    const std::vector<MemberRecord> members = a->Members();
    return members.size() == 2U && members.back().state == MemberState::Alive;
  }));
  pool.Stop();
}

// Guards against a certificate renewal that needs a restart, and against losing the TLS
// credentials by reloading a damaged file.
MASTICSTEP_TEST("a renewed certificate is used without a restart", "[peering][tls]")
{
  const TestAuthority authority;
  net::WorkerPool pool(1);
  PeeringSettings settings = MakeSettings("a", {});
  settings.tls = Issue(authority, "a", 20, 30);
  const std::unique_ptr<Peering> a = StartPeering(pool, settings);
  const net::TlsFiles client = Issue(authority, "c", 21, 30);
  CHECK_EQUAL(20L, PresentedSerial(a->Address(), client));
  Issue(authority, "a", 22, 30);
  a->ReloadCertificates();
  CHECK_TRUE(Eventually([&] { return PresentedSerial(a->Address(), client) == 22; }));
  authority.Damage("a");
  a->ReloadCertificates();
  CHECK_EQUAL(22L, PresentedSerial(a->Address(), client));
  pool.Stop();
}

// Guards against an expiry warning that is late or concerns a certificate that is still valid
// for long.
MASTICSTEP_TEST("the time to expiry is read from the certificate", "[peering][tls]")
{
  const TestAuthority authority;
  CHECK_TRUE(TlsCredentials::Load(Issue(authority, "a", 1, 13))->TimeToExpiry() <
             kExpiryWarningPeriod);
  CHECK_TRUE(TlsCredentials::Load(Issue(authority, "a", 2, 15))->TimeToExpiry() >
             kExpiryWarningPeriod);
  CHECK_TRUE(TlsCredentials::Load(Issue(authority, "a", 3, -1))->TimeToExpiry().count() < 0);
}

// Guards against unencrypted links between hosts, and against a failed start without a reason.
MASTICSTEP_TEST("unusable settings are rejected with a reason", "[peering][settings]")
{
  boost::asio::io_context context;
  PeeringSettings settings = MakeSettings("a", {});
  settings.address = "0.0.0.0:0";
  CHECK_EQUAL("links between daemons without tls are only allowed on loopback, not on 0.0.0.0:0",
              Peering::Create(context, settings, {}).error().message);
  settings = MakeSettings("a", {});
  settings.tls = net::TlsFiles{ "/nonexistent.pem", "/nonexistent.key", "/nonexistent-ca.pem" };
  CHECK_TRUE(Peering::Create(context, settings, {}).error().message.find("/nonexistent.pem") !=
             std::string::npos);
}

// Guards against a rolling upgrade that breaks links: an older daemon skips unknown frames of a
// newer minor version, and closes the link on another major version.
MASTICSTEP_TEST("a newer minor version is accepted and another major version refused",
                "[peering][version]")
{
  net::WorkerPool pool(1);
  const std::unique_ptr<Peering> a = StartPeering(pool, MakeSettings("a", {}));
  boost::asio::io_context context;
  const auto bytesReceived = [&](const std::string& aBytes) {
    tcp::socket socket(context);
    boost::system::error_code ec;
    socket.connect(ParseEndpoint(a->Address()), ec);
    boost::asio::write(socket, boost::asio::buffer(aBytes), ec);
    std::array<char, 1024> buf{};
    return socket.read_some(boost::asio::buffer(buf), ec);
  };
  const std::string newer =
    wire::EncodeRawFrame({ 0, wire::kMajorVersion, wire::kMinorVersion + 1, 700, 0 }, "new");
  CHECK_TRUE(bytesReceived(newer + EncodeHello("127.0.0.1:1")) > 0U);
  CHECK_EQUAL(0U, bytesReceived(wire::EncodeRawFrame({ 0, wire::kMajorVersion + 1, 0, 1, 0 }, "")));
  CHECK_TRUE(Eventually([&] { return a->Counters().linksRefused == 1U; }));
  pool.Stop();
}
