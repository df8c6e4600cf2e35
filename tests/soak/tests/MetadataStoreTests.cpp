// The stand-in must keep the promises of the real store, or the runs prove nothing.
#include "MetadataStore.hpp"

#include "common/HttpClient.hpp"

#include "masticstep/testing/Test.hpp"

#include <boost/asio/co_spawn.hpp>

#include <exception>

using namespace masticstep;
using namespace masticstep::soak;

namespace {

namespace asio = boost::asio;

// A store behind its server, and calls to it.
class Bed
{
public:
  Bed()
    : mServer(standins::HttpServer::Create(mContext, { "127.0.0.1", 0 }, mStore))
  {
    mStore.Faults().latency = Duration::zero();
  }

  MetadataStore& Store() { return mStore; }

  standins::HttpReply Call(const std::string& aMethod, const std::string& aTarget,
                           const std::string& aBody = {})
  {
    standins::HttpCall call;
    call.server = (*mServer)->BoundAddress();
    call.method = aMethod;
    call.target = "/masticstep/objects/" + aTarget;
    call.body = aBody;
    standins::HttpReply reply;
    asio::co_spawn(mContext, standins::Fetch(std::move(call)),
                   [&](const std::exception_ptr&, standins::HttpReply aReply) {
                     reply = std::move(aReply);
                     mContext.stop();
                   });
    mContext.restart();
    mContext.run();
    return reply;
  }

private:
  asio::io_context mContext{ 1 };
  MetadataStore mStore;
  Result<std::unique_ptr<standins::HttpServer>, std::string> mServer;
};

const std::string kObject = R"({"metadata":{"name":"a"},"specification":"x"})";

} // namespace

MASTICSTEP_TEST("an object is created once and replaced only at its revision", "[soak][store]")
{
  Bed bed;
  const standins::HttpReply created = bed.Call("POST", "leases", kObject);
  CHECK_EQUAL(201U, created.status);
  CHECK_EQUAL(409U, bed.Call("POST", "leases", kObject).status);
  const std::int64_t revision =
    created.Json().at("metadata").at("revision").to_number<std::int64_t>();
  const auto replace = [&](std::int64_t aRevision) {
    const boost::json::object body{ { "metadata", { { "revision", aRevision } } },
                                    { "specification", "y" } };
    return bed.Call("PUT", "leases/a", boost::json::serialize(body)).status;
  };
  CHECK_EQUAL(409U, replace(revision - 1));
  CHECK_EQUAL(200U, replace(revision));
  CHECK_EQUAL(404U, bed.Call("DELETE", "leases/b").status);
  CHECK_EQUAL(200U, bed.Call("DELETE", "leases/a").status);
}

MASTICSTEP_TEST("a watch tells of later changes and of lost history", "[soak][store]")
{
  Bed bed;
  const std::int64_t before =
    bed.Call("GET", "servers").Json().at("asOf").to_number<std::int64_t>();
  bed.Store().Put("servers", "i", "x");
  bed.Store().Remove("servers", "i");
  const std::string watch = "servers?waitMs=1000&watch=" + std::to_string(before);
  const boost::json::object events = bed.Call("GET", watch).Json();
  CHECK_EQUAL(std::size_t{ 2 }, events.at("events").as_array().size());
  CHECK_TRUE(events.at("events").at(1).at("deleted").as_bool());
  bed.Store().ForgetHistory();
  CHECK_EQUAL(410U, bed.Call("GET", watch).status);
}

MASTICSTEP_TEST("a store that is down changes nothing, one that loses answers does",
                "[soak][store]")
{
  Bed bed;
  bed.Store().Faults().isDown = true;
  CHECK_EQUAL(503U, bed.Call("POST", "leases", kObject).status);
  bed.Store().Faults().isDown = false;
  CHECK_EQUAL(404U, bed.Call("GET", "leases/a").status);
  bed.Store().Faults().lostAnswers = 1;
  CHECK_EQUAL(0U, bed.Call("POST", "leases", kObject).status);
  CHECK_EQUAL(200U, bed.Call("GET", "leases/a").status);
}
