#include "masticstep/config/Configuration.hpp"
#include "masticstep/config/Settings.hpp"
#include "masticstep/testing/Test.hpp"

#include <boost/json.hpp>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <iterator>

using namespace masticstep;
namespace json = boost::json;

namespace {

// Returns whether the checker accepts the text.
using Checker = std::function<bool(const json::value&)>;

json::value ReadSchema(const std::string& aName)
{
  const char* root = std::getenv("MASTICSTEP_SOURCE");
  CPPUNIT_ASSERT_MESSAGE("MASTICSTEP_SOURCE is not set; run through ctest", root != nullptr);
  std::ifstream stream(std::string(root) + "/schema/" + aName);
  return json::parse(
    std::string{ std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>() });
}

// Applies every rule of a schema to a valid document: the document that breaks just this rule must
// be refused, and the values on the bounds must be accepted.
class SchemaWalk
{
public:
  SchemaWalk(json::value aDocument, Checker aChecker)
    : mDocument(std::move(aDocument))
    , mChecker(std::move(aChecker))
  {
  }

  std::size_t Rules() const { return mRules; }

  void WalkObject(const json::object& aSchema, const std::string& aPointer)
  {
    Expect(aPointer + "/unknown_key_of_the_test", json::value(1), false);
    if (aSchema.contains("required")) {
      for (const json::value& key : aSchema.at("required").as_array()) {
        ExpectRemoved(aPointer, std::string(key.as_string()));
      }
    }
    for (const json::key_value_pair& item : aSchema.at("properties").as_object()) {
      if (item.value().is_object()) {
        WalkValue(item.value().as_object(), aPointer + "/" + std::string(item.key()));
      }
    }
  }

private:
  void Expect(const std::string& aPointer, json::value aValue, bool aAccepted)
  {
    json::value changed = mDocument;
    const std::size_t slash = aPointer.rfind('/');
    json::value& parent = changed.at_pointer(aPointer.substr(0, slash));
    parent.as_object()[aPointer.substr(slash + 1)] = std::move(aValue);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(aPointer + " in " + json::serialize(changed), aAccepted,
                                 mChecker(changed));
    ++mRules;
  }

  void ExpectRemoved(const std::string& aPointer, const std::string& aKey)
  {
    json::value changed = mDocument;
    changed.at_pointer(aPointer).as_object().erase(aKey);
    CPPUNIT_ASSERT_MESSAGE(aPointer + " without " + aKey, !mChecker(changed));
    ++mRules;
  }

  void WalkValue(const json::object& aSchema, const std::string& aPointer)
  {
    Expect(aPointer, nullptr, false);
    if (aSchema.contains("enum")) {
      Expect(aPointer, "value_of_no_enum", false);
      return;
    }
    const std::string type(aSchema.at("type").as_string());
    if (type == "object") {
      WalkObject(aSchema, aPointer);
    } else if (type == "array") {
      WalkArray(aSchema, aPointer);
    } else if (type == "integer") {
      const std::int64_t minimum = aSchema.at("minimum").as_int64();
      const std::int64_t maximum = aSchema.at("maximum").as_int64();
      Expect(aPointer, minimum - 1, false);
      Expect(aPointer, maximum + 1, false);
      Expect(aPointer, maximum, true);
      Expect(aPointer, 1.5, false);
    } else if (type == "number") {
      Expect(aPointer, aSchema.at("maximum").to_number<double>() + 0.5, false);
      Expect(aPointer, aSchema.at("minimum"), true);
    } else if (type == "string" && aSchema.contains("pattern")) {
      Expect(aPointer, "Not A Value", false);
    }
  }

  void WalkArray(const json::object& aSchema, const std::string& aPointer)
  {
    Expect(aPointer, json::array{ 7 }, false);
    Expect(aPointer, json::array{}, !aSchema.contains("minItems"));
    const json::object& items = aSchema.at("items").as_object();
    if (items.at("type").as_string() == "object") {
      WalkObject(items, aPointer + "/0");
    }
  }

  json::value mDocument;
  Checker mChecker;
  std::size_t mRules = 0;
};

bool AcceptsFile(const std::string& aName, const json::value& aDocument)
{
  return Configuration::Create(1, { { aName, json::serialize(aDocument) } }).has_value();
}

json::value ModelService()
{
  return json::parse(R"({"service":"s","kind":"model","model":"m","version":"1","adapters":[],
    "backend_servers":[{"name":"e","url":"http://127.0.0.1:1","region":"r","data_centre":"d"}],
    "classes":[{"name":"c","first_token_ms":1,"deadline_ms":86400000}],"role_policy":{}})");
}

json::value PlainService()
{
  return json::parse(R"({"service":"s","kind":"plain","backend_servers":[],
    "calls":[{"method":"GET","path":"/","repeatable":true}]})");
}

} // namespace

// Guards against an editor that accepts what the checker refuses, or the other way round.
MASTICSTEP_TEST("the settings schema agrees with the checker", "[config][schema]")
{
  const json::value document = json::parse(R"({"host":"h","region":"r","data_centre":"d",
    "caller_address":"127.0.0.1:1","peer_address":"127.0.0.1:2","admin_address":"127.0.0.1:3",
    "platform_url":"http://127.0.0.1:4","shutdown_ms":3600000,"balancer_notice_ms":0,"peers":[],
    "tls":{"certificate":"c","key":"k","authority":"a"},"limits":{}})");
  SchemaWalk walk(document, [](const json::value& aDocument) {
    return ParseSettings(json::serialize(aDocument), "s").has_value();
  });
  walk.WalkObject(ReadSchema("settings.schema.json").as_object(), "");
  CHECK_TRUE(walk.Rules() > 50);
}

MASTICSTEP_TEST("the service schema agrees with the checker for both kinds", "[config][schema]")
{
  const json::value schema = ReadSchema("service.schema.json");
  const Checker checker = [](const json::value& aDocument) {
    return AcceptsFile("s.service.json", aDocument);
  };
  SchemaWalk model(ModelService(), checker);
  model.WalkObject(schema.as_object(), "");
  model.WalkObject(schema.at("then").as_object(), "");
  CHECK_TRUE(model.Rules() > 50);
  SchemaWalk plain(PlainService(), checker);
  plain.WalkObject(schema.at("else").as_object(), "");
  CHECK_TRUE(plain.Rules() > 10);
}

MASTICSTEP_TEST("the accounts schema agrees with the checker", "[config][schema]")
{
  const json::value document =
    json::object{ { "accounts", json::array{ json::object{ { "name", "a" },
                                                           { "key_sha256", std::string(64, 'a') },
                                                           { "services", json::array{} } } } } };
  SchemaWalk walk(document, [](const json::value& aDocument) {
    return AcceptsFile("a.accounts.json", aDocument);
  });
  walk.WalkObject(ReadSchema("accounts.schema.json").as_object(), "");
  CHECK_TRUE(walk.Rules() > 15);
}
