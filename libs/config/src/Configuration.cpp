#include "masticstep/config/Configuration.hpp"

#include "ServiceReader.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace masticstep {

namespace {

constexpr std::string_view kServiceSuffix = ".service.json";
constexpr std::string_view kAccountsSuffix = ".accounts.json";

// Parsed services and accounts of all files, each with the name of its file.
struct ParsedFiles
{
  std::vector<std::pair<Service, std::string>> services;
  std::vector<std::pair<ClientAccount, std::string>> accounts;
};

void ParseFile(const ConfigurationFile& aFile, ParsedFiles& aParsed, Faults& aFaults)
{
  const bool isService = aFile.name.ends_with(kServiceSuffix);
  if (!isService && !aFile.name.ends_with(kAccountsSuffix)) {
    aFaults.push_back({ aFile.name, "$", "unknown kind of file",
                        "a name that ends in .service.json or .accounts.json" });
    return;
  }
  const std::optional<boost::json::object> object = ParseObject(aFile.text, aFile.name, aFaults);
  if (!object.has_value()) {
    return;
  }
  ObjectReader reader(*object, aFile.name, "$", aFaults);
  if (isService) {
    aParsed.services.emplace_back(ReadService(reader), aFile.name);
    return;
  }
  for (ClientAccount& account : ReadAccounts(reader)) {
    aParsed.accounts.emplace_back(std::move(account), aFile.name);
  }
}

// Records the file that first used each value and reports every later use as a fault.
class UniqueValues
{
public:
  UniqueValues(std::string aKind, Faults& aFaults)
    : mKind(std::move(aKind))
    , mFaults(&aFaults)
  {
  }

  void Add(const std::string& aValue, const std::string& aFile, const std::string& aPath)
  {
    if (aValue.empty()) {
      return;
    }
    const std::map<std::string, std::string>::iterator it = mFiles.find(aValue);
    if (it == mFiles.end()) {
      mFiles.emplace(aValue, aFile);
      return;
    }
    mFaults->push_back(
      { aFile, aPath, mKind + " '" + aValue + "' is also in " + it->second, "a unique value" });
  }

private:
  std::string mKind;
  Faults* mFaults;
  std::map<std::string, std::string> mFiles;
};

void CheckServices(const ParsedFiles& aParsed, Faults& aFaults)
{
  UniqueValues names("service", aFaults);
  UniqueValues models("model", aFaults);
  std::map<std::string, std::string> fileByBackendServer;
  for (const std::pair<Service, std::string>& item : aParsed.services) {
    const Service& service = item.first;
    names.Add(service.name.Text(), item.second, "$.service");
    models.Add(service.model.Text(), item.second, "$.model");
    for (std::size_t i = 0; i < service.backendServers.size(); ++i) {
      const std::string& name = service.backendServers[i].name.Text();
      const std::map<std::string, std::string>::iterator it = fileByBackendServer.find(name);
      // Duplicate names within one file are reported by ReadService.
      if (it != fileByBackendServer.end() && it->second != item.second && !name.empty()) {
        aFaults.push_back({ item.second, "$.backend_servers[" + std::to_string(i) + "].name",
                            "backend server '" + name + "' is also in " + it->second,
                            "a unique value" });
      }
      fileByBackendServer.emplace(name, item.second);
    }
  }
}

void CheckAccounts(const ParsedFiles& aParsed, Faults& aFaults)
{
  UniqueValues names("client account", aFaults);
  UniqueValues keys("key digest", aFaults);
  std::string serviceNames;
  for (const std::pair<Service, std::string>& item : aParsed.services) {
    serviceNames += (serviceNames.empty() ? "" : ", ") + item.first.name.Text();
  }
  for (const std::pair<ClientAccount, std::string>& item : aParsed.accounts) {
    const ClientAccount& account = item.first;
    const std::string path = "$.accounts[name=" + account.name.Text() + "]";
    names.Add(account.name.Text(), item.second, path + ".name");
    keys.Add(account.keySha256, item.second, path + ".key_sha256");
    for (const ServiceName& service : account.services) {
      const bool exists = std::any_of(aParsed.services.begin(), aParsed.services.end(),
                                      [&service](const std::pair<Service, std::string>& aOther) {
                                        return aOther.first.name == service;
                                      });
      if (!exists) {
        aFaults.push_back({ item.second, path + ".services",
                            "service '" + service.Text() + "' does not exist", serviceNames });
      }
    }
  }
}

} // namespace

Result<Configuration, Faults> Configuration::Create(std::uint64_t aGeneration,
                                                    const std::vector<ConfigurationFile>& aFiles)
{
  Faults faults;
  ParsedFiles parsed;
  for (const ConfigurationFile& file : aFiles) {
    ParseFile(file, parsed, faults);
  }
  CheckServices(parsed, faults);
  CheckAccounts(parsed, faults);
  if (!faults.empty()) {
    return Failure(faults);
  }
  Configuration result;
  result.mGeneration = aGeneration;
  for (std::pair<Service, std::string>& item : parsed.services) {
    result.mServices.push_back(std::move(item.first));
  }
  for (std::pair<ClientAccount, std::string>& item : parsed.accounts) {
    result.mAccountsByKey.emplace(item.first.keySha256, result.mAccounts.size());
    result.mAccounts.push_back(std::move(item.first));
  }
  return result;
}

const Service* Configuration::FindService(const ServiceName& aName) const
{
  for (const Service& service : mServices) {
    if (service.name == aName) {
      return &service;
    }
  }
  return nullptr;
}

const Service* Configuration::FindModel(const ModelName& aModel) const
{
  for (const Service& service : mServices) {
    if (service.kind == ServiceKind::Model && service.model == aModel) {
      return &service;
    }
  }
  return nullptr;
}

const ClientAccount* Configuration::FindAccountByKey(const std::string& aKeySha256) const
{
  const std::unordered_map<std::string, std::size_t>::const_iterator it =
    mAccountsByKey.find(aKeySha256);
  return it == mAccountsByKey.end() ? nullptr : &mAccounts[it->second];
}

bool Configuration::operator==(const Configuration& aOther) const
{
  return mGeneration == aOther.mGeneration && mServices == aOther.mServices &&
         mAccounts == aOther.mAccounts;
}

bool MayUse(const ClientAccount& aAccount, const ServiceName& aService)
{
  return std::find(aAccount.services.begin(), aAccount.services.end(), aService) !=
         aAccount.services.end();
}

} // namespace masticstep
