#include "common/JsonFields.hpp"

namespace masticstep::standins {

namespace {

const boost::json::value* Find(const boost::json::object& aObject, std::string_view aName)
{
  return aObject.if_contains(boost::json::string_view(aName.data(), aName.size()));
}

} // namespace

std::int64_t IntegerField(const boost::json::object& aObject, std::string_view aName,
                          std::int64_t aDefault)
{
  return static_cast<std::int64_t>(NumberField(aObject, aName, static_cast<double>(aDefault)));
}

double NumberField(const boost::json::object& aObject, std::string_view aName, double aDefault)
{
  const boost::json::value* found = Find(aObject, aName);
  return found != nullptr && found->is_number() ? found->to_number<double>() : aDefault;
}

bool BooleanField(const boost::json::object& aObject, std::string_view aName, bool aDefault)
{
  const boost::json::value* found = Find(aObject, aName);
  return found != nullptr && found->is_bool() ? found->get_bool() : aDefault;
}

std::string StringField(const boost::json::object& aObject, std::string_view aName)
{
  const boost::json::value* found = Find(aObject, aName);
  return found != nullptr && found->is_string() ? std::string(found->get_string()) : std::string();
}

std::vector<std::string> StringArrayField(const boost::json::object& aObject,
                                          std::string_view aName)
{
  std::vector<std::string> texts;
  const boost::json::value* found = Find(aObject, aName);
  if (found == nullptr || !found->is_array()) {
    return texts;
  }
  for (const boost::json::value& item : found->get_array()) {
    if (item.is_string()) {
      texts.emplace_back(item.get_string());
    }
  }
  return texts;
}

} // namespace masticstep::standins
