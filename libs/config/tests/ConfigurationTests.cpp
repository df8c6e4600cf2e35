#include "masticstep/config/Configuration.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep;

namespace {

ConfigurationFile DraftingFile()
{
  return { "drafting/drafting.service.json",
           R"({"service":"drafting","kind":"model","model":"signs-8b",
    "backend_servers":[{"name":"draft-1","url":"http://127.0.0.1:8101","region":"regina",
      "data_centre":"regina-a","refuses_old_fencing":true,"role":"prefill"}],
    "classes":[{"name":"counter","priority":10},{"name":"batch","deadline_ms":600000}],
    "role_policy":{"change_cost_s":20,"minimum_interval_s":120,"maximum_share":0.2}})" };
}

ConfigurationFile OrderingFile()
{
  return { "ordering/ordering.service.json",
           R"({"service":"ordering","kind":"plain","timeout_ms":5000,
    "backend_servers":[{"name":"order-1","url":"http://127.0.0.1:8201","region":"regina","data_centre":"regina-a"}],
    "calls":[{"method":"POST","path":"/orders","repeatable":false},{"method":"GET","path":"/","repeatable":true},
      {"method":"GET","path":"/once","repeatable":false}]})" };
}

ConfigurationFile AccountsFile(const std::string& aService, char aDigit)
{
  return { "accounts/dealers.accounts.json", R"({"accounts":[{"name":"dealer-12","key_sha256":")" +
                                               std::string(64, aDigit) + R"(","services":[")" +
                                               aService + R"("]}]})" };
}

} // namespace

MASTICSTEP_TEST("services, classes and accounts of a valid configuration are found", "[config]")
{
  const Result<Configuration, Faults> result =
    Configuration::Create(3, { DraftingFile(), OrderingFile(), AccountsFile("ordering", 'a') });
  CHECK_TRUE(result.has_value());
  CHECK_EQUAL(3U, result->Generation());
  const Service* drafting = result->FindModel(ModelName("signs-8b"));
  CHECK_TRUE(drafting != nullptr);
  CHECK_TRUE(drafting->backendServers[0].role == EngineRole::Prefill);
  CHECK_EQUAL(ClassName("counter"), FindClass(*drafting, ClassName())->name);
  CHECK_TRUE(FindClass(*drafting, ClassName("none")) == nullptr);
  const ClientAccount* account = result->FindAccountByKey(std::string(64, 'a'));
  CHECK_TRUE(account != nullptr && MayUse(*account, ServiceName("ordering")));
  CHECK_FALSE(MayUse(*account, ServiceName("drafting")));
  CHECK_TRUE(result->FindAccountByKey(std::string(64, 'b')) == nullptr);
}

// Guards against repeating a call that the operator has not declared repeatable.
MASTICSTEP_TEST(
  "the rule with the longest prefix applies and calls without a rule are not repeatable",
  "[config]")
{
  const Result<Configuration, Faults> result = Configuration::Create(1, { OrderingFile() });
  const Service* service = result->FindService(ServiceName("ordering"));
  CHECK_FALSE(IsRepeatable(*service, "POST", "/orders"));
  CHECK_TRUE(IsRepeatable(*service, "GET", "/orders/7"));
  CHECK_FALSE(IsRepeatable(*service, "GET", "/once/7"));
  CHECK_FALSE(IsRepeatable(*service, "DELETE", "/orders/7"));
}

// Guards against accepting a configuration that fails later in the daemons.
MASTICSTEP_TEST("unknown references and duplicate names are rejected", "[config]")
{
  ConfigurationFile copy = OrderingFile();
  copy.name = "copy/copy.service.json";
  const Result<Configuration, Faults> result =
    Configuration::Create(1, { OrderingFile(),
                               copy,
                               AccountsFile("none", 'a'),
                               AccountsFile("ordering", 'a'),
                               { "notes.txt", "" } });
  CHECK_FALSE(result.has_value());
  std::vector<std::string> problems;
  for (const Fault& fault : result.error()) {
    problems.push_back(fault.path + ": " + fault.problem);
  }
  const std::string digest(64, 'a');
  const std::vector<std::string> expected = {
    "$: unknown kind of file",
    "$.service: service 'ordering' is also in ordering/ordering.service.json",
    "$.backend_servers[0].name: backend server 'order-1' is also in ordering/ordering.service.json",
    "$.accounts[name=dealer-12].services: service 'none' does not exist",
    "$.accounts[name=dealer-12].name: client account 'dealer-12' is also in "
    "accounts/dealers.accounts.json",
    "$.accounts[name=dealer-12].key_sha256: key digest '" + digest +
      "' is also in accounts/dealers.accounts.json",
  };
  CHECK_TRUE(expected == problems);
}

// Guards against accepting a key that belongs to the other kind of service.
MASTICSTEP_TEST("keys of the other kind of service are rejected as unknown", "[config]")
{
  ConfigurationFile file = OrderingFile();
  file.text.insert(1, R"("model":"m",)");
  const Result<Configuration, Faults> result = Configuration::Create(1, { file });
  CHECK_FALSE(result.has_value());
  CHECK_EQUAL(std::string("$.model"), result.error()[0].path);
}
