#include "ServiceReader.hpp"

#include "AddressReader.hpp"

namespace masticstep {

namespace {

constexpr IntegerRange kLatencyMillisecondsRange{ 1, 600000 };
constexpr IntegerRange kDeadlineMillisecondsRange{ 1, 86400000 };
constexpr IntegerRange kPriorityRange{ 0, 255 };
constexpr IntegerRange kQueueLimitRange{ 1, 1000000 };
constexpr IntegerRange kChangeCostSecondsRange{ 0, 86400 };
constexpr IntegerRange kIntervalSecondsRange{ 0, 86400 };
constexpr double kMinimumShare = 0.01;
constexpr double kMaximumShare = 1.0;

BackendServer ReadBackendServer(ObjectReader& aReader, ServiceKind aKind)
{
  BackendServer server;
  server.name = BackendServerName(aReader.RequiredName("name"));
  server.url = ReadUrl(aReader, "url");
  server.region = RegionName(aReader.RequiredName("region"));
  server.dataCentre = DataCentreName(aReader.RequiredName("data_centre"));
  server.refusesOldFencing = aReader.OptionalBoolean("refuses_old_fencing", false);
  if (aKind == ServiceKind::Model && aReader.Has("role")) {
    server.role =
      static_cast<EngineRole>(aReader.RequiredChoice("role", { "mixed", "prefill", "decode" }));
  }
  aReader.Finish();
  return server;
}

ServiceClass ReadClass(ObjectReader& aReader)
{
  ServiceClass result;
  result.name = ClassName(aReader.RequiredName("name"));
  result.firstToken =
    ReadMilliseconds(aReader, "first_token_ms", kLatencyMillisecondsRange, result.firstToken);
  result.betweenTokens =
    ReadMilliseconds(aReader, "between_tokens_ms", kLatencyMillisecondsRange, result.betweenTokens);
  result.deadline =
    ReadMilliseconds(aReader, "deadline_ms", kDeadlineMillisecondsRange, result.deadline);
  result.priority =
    static_cast<std::uint8_t>(aReader.OptionalInteger("priority", kPriorityRange, result.priority));
  result.queueLimit = static_cast<std::uint32_t>(
    aReader.OptionalInteger("queue_limit", kQueueLimitRange, result.queueLimit));
  if (result.deadline < result.firstToken) {
    aReader.Report("deadline_ms", "shorter than first_token_ms", "at least first_token_ms");
  }
  aReader.Finish();
  return result;
}

RolePolicy ReadRolePolicy(ObjectReader& aReader)
{
  RolePolicy policy;
  policy.changeCost = Seconds(aReader.OptionalInteger("change_cost_s", kChangeCostSecondsRange,
                                                      policy.changeCost / Seconds(1)));
  policy.minimumInterval = Seconds(aReader.OptionalInteger(
    "minimum_interval_s", kIntervalSecondsRange, policy.minimumInterval / Seconds(1)));
  policy.maximumShare =
    aReader.OptionalNumber("maximum_share", kMinimumShare, kMaximumShare, policy.maximumShare);
  aReader.Finish();
  return policy;
}

CallRule ReadCallRule(ObjectReader& aReader)
{
  const std::vector<std::string> methods = { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE" };
  CallRule rule;
  rule.method = methods[aReader.RequiredChoice("method", methods)];
  rule.pathPrefix = aReader.RequiredString("path");
  if (!rule.pathPrefix.empty() && rule.pathPrefix.front() != '/') {
    aReader.Report("path", "does not start with '/'", "absolute path prefix");
  }
  rule.repeatable = aReader.RequiredBoolean("repeatable");
  aReader.Finish();
  return rule;
}

template <class Items>
void ReportDuplicateNames(ObjectReader& aReader, std::string_view aKey, const Items& aItems)
{
  for (std::size_t i = 0; i < aItems.size(); ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      if (!aItems[i].name.IsEmpty() && aItems[i].name == aItems[j].name) {
        aReader.Report(std::string(aKey) + "[" + std::to_string(i) + "].name",
                       "'" + aItems[i].name.Text() + "' is used twice", "a unique name");
      }
    }
  }
}

void ReadModelFields(ObjectReader& aReader, Service& aService)
{
  aService.model = ModelName(aReader.RequiredName("model"));
  aService.version = aReader.OptionalString("version", "1");
  aService.adapters = aReader.StringList("adapters", false);
  for (ObjectReader& reader : aReader.ObjectList("classes", true)) {
    aService.classes.push_back(ReadClass(reader));
  }
  if (aService.classes.empty() && aReader.Has("classes")) {
    aReader.Report("classes", "has no valid class", "at least one class");
  }
  if (std::optional<ObjectReader> reader = aReader.OptionalObject("role_policy")) {
    aService.rolePolicy = ReadRolePolicy(*reader);
  }
  ReportDuplicateNames(aReader, "classes", aService.classes);
}

void ReadPlainFields(ObjectReader& aReader, Service& aService)
{
  aService.timeout =
    ReadMilliseconds(aReader, "timeout_ms", kDeadlineMillisecondsRange, aService.timeout);
  for (ObjectReader& reader : aReader.ObjectList("calls", true)) {
    aService.calls.push_back(ReadCallRule(reader));
  }
}

ClientAccount ReadAccount(ObjectReader& aReader)
{
  constexpr IntegerRange kWeightRange{ 1, 10000 };
  constexpr IntegerRange kTokensRange{ 0, 1000000000 };
  constexpr std::size_t kDigestLength = 64;
  ClientAccount account;
  account.name = AccountName(aReader.RequiredName("name"));
  account.keySha256 = aReader.RequiredString("key_sha256");
  const bool isDigest =
    account.keySha256.size() == kDigestLength &&
    account.keySha256.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (!account.keySha256.empty() && !isDigest) {
    aReader.Report("key_sha256", "not a SHA-256 digest", "64 lower-case hexadecimal digits");
  }
  account.weight = static_cast<std::uint32_t>(aReader.OptionalInteger("weight", kWeightRange, 1));
  account.tokensPerSecond =
    static_cast<std::uint32_t>(aReader.OptionalInteger("tokens_per_s", kTokensRange, 0));
  account.burstTokens = static_cast<std::uint32_t>(
    aReader.OptionalInteger("burst_tokens", kTokensRange, 10LL * account.tokensPerSecond));
  for (std::string& name : aReader.StringList("services", true)) {
    account.services.emplace_back(std::move(name));
  }
  aReader.Finish();
  return account;
}

} // namespace

Service ReadService(ObjectReader& aReader)
{
  Service service;
  service.name = ServiceName(aReader.RequiredName("service"));
  service.kind = static_cast<ServiceKind>(aReader.RequiredChoice("kind", { "model", "plain" }));
  for (ObjectReader& reader : aReader.ObjectList("backend_servers", true)) {
    service.backendServers.push_back(ReadBackendServer(reader, service.kind));
  }
  ReportDuplicateNames(aReader, "backend_servers", service.backendServers);
  if (service.kind == ServiceKind::Model) {
    ReadModelFields(aReader, service);
  } else {
    ReadPlainFields(aReader, service);
  }
  aReader.Finish();
  return service;
}

std::vector<ClientAccount> ReadAccounts(ObjectReader& aReader)
{
  std::vector<ClientAccount> accounts;
  for (ObjectReader& reader : aReader.ObjectList("accounts", true)) {
    accounts.push_back(ReadAccount(reader));
  }
  ReportDuplicateNames(aReader, "accounts", accounts);
  aReader.Finish();
  return accounts;
}

} // namespace masticstep
