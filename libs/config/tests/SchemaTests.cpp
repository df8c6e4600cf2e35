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

// Returns whether a document is accepted.
using Validator = std::function<bool(const json::value&)>;

json::value ReadSchema(const std::string& aName)
{
  const char* root = std::getenv("MASTICSTEP_SOURCE");
  CPPUNIT_ASSERT_MESSAGE("MASTICSTEP_SOURCE is not set; run through ctest", root != nullptr);
  std::ifstream stream(std::string(root) + "/schema/" + aName);
  return json::parse(
    std::string{ std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>() });
}

// Checks that a validator agrees with a schema. For each rule of the schema, the validator must
// reject a valid document that was changed to violate only this rule, and accept values at the
// limits.
class SchemaChecker
{
public:
  SchemaChecker(json::value aDocument, Validator aValidator)
    : mDocument(std::move(aDocument))
    , mValidator(std::move(aValidator))
  {
  }

  std::size_t CheckedRules() const { return mCheckedRules; }

  void CheckObject(const json::object& aSchema, const std::string& aPointer)
  {
    Expect(aPointer + "/unknown_key_of_the_test", json::value(1), false);
    if (aSchema.contains("required")) {
      for (const json::value& key : aSchema.at("required").as_array()) {
        ExpectRemoved(aPointer, std::string(key.as_string()));
      }
    }
    for (const json::key_value_pair& item : aSchema.at("properties").as_object()) {
      if (item.value().is_object()) {
        CheckValue(item.value().as_object(), aPointer + "/" + std::string(item.key()));
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
                                 mValidator(changed));
    ++mCheckedRules;
  }

  void ExpectRemoved(const std::string& aPointer, const std::string& aKey)
  {
    json::value changed = mDocument;
    changed.at_pointer(aPointer).as_object().erase(aKey);
    CPPUNIT_ASSERT_MESSAGE(aPointer + " without " + aKey, !mValidator(changed));
    ++mCheckedRules;
  }

  void CheckValue(const json::object& aSchema, const std::string& aPointer)
  {
    Expect(aPointer, nullptr, false);
    if (aSchema.contains("enum")) {
      Expect(aPointer, "value_of_no_enum", false);
      return;
    }
    const std::string type(aSchema.at("type").as_string());
    if (type == "object") {
      CheckObject(aSchema, aPointer);
    } else if (type == "array") {
      CheckArray(aSchema, aPointer);
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

  void CheckArray(const json::object& aSchema, const std::string& aPointer)
  {
    Expect(aPointer, json::array{ 7 }, false);
    Expect(aPointer, json::array{}, !aSchema.contains("minItems"));
    const json::object& items = aSchema.at("items").as_object();
    if (items.at("type").as_string() == "object") {
      CheckObject(items, aPointer + "/0");
    }
  }

  json::value mDocument;
  Validator mValidator;
  std::size_t mCheckedRules = 0;
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

// Guards against a schema, as used by editors, that accepts what the parser rejects or rejects what
// the parser accepts.
MASTICSTEP_TEST("the settings schema agrees with the parser", "[config][schema]")
{
  const json::value document = json::parse(R"({"host":"h","region":"r","data_centre":"d",
    "caller_address":"127.0.0.1:1","peer_address":"127.0.0.1:2","admin_address":"127.0.0.1:3",
    "platform_url":"http://127.0.0.1:4","shutdown_ms":3600000,"balancer_notice_ms":0,"peers":[],
    "tls":{"certificate":"c","key":"k","authority":"a"},"limits":{}})");
  SchemaChecker checker(document, [](const json::value& aDocument) {
    return ParseSettings(json::serialize(aDocument), "s").has_value();
  });
  checker.CheckObject(ReadSchema("settings.schema.json").as_object(), "");
  CHECK_TRUE(checker.CheckedRules() > 50);
}

MASTICSTEP_TEST("the service schema agrees with the parser for both kinds", "[config][schema]")
{
  const json::value schema = ReadSchema("service.schema.json");
  const Validator validator = [](const json::value& aDocument) {
    return AcceptsFile("s.service.json", aDocument);
  };
  SchemaChecker model(ModelService(), validator);
  model.CheckObject(schema.as_object(), "");
  model.CheckObject(schema.at("then").as_object(), "");
  CHECK_TRUE(model.CheckedRules() > 50);
  SchemaChecker plain(PlainService(), validator);
  plain.CheckObject(schema.at("else").as_object(), "");
  CHECK_TRUE(plain.CheckedRules() > 10);
}

MASTICSTEP_TEST("the accounts schema agrees with the parser", "[config][schema]")
{
  const json::value document =
    json::object{ { "accounts", json::array{ json::object{ { "name", "a" },
                                                           { "key_sha256", std::string(64, 'a') },
                                                           { "services", json::array{} } } } } };
  SchemaChecker checker(document, [](const json::value& aDocument) {
    return AcceptsFile("a.accounts.json", aDocument);
  });
  checker.CheckObject(ReadSchema("accounts.schema.json").as_object(), "");
  CHECK_TRUE(checker.CheckedRules() > 15);
}
