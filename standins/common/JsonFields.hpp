#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace masticstep::standins {

// Accessors for JSON members. A member that is missing or has another type yields the default
// value, or an empty string or list. Non-string items of an array are skipped.
std::int64_t IntegerField(const boost::json::object& aObject, std::string_view aName,
                          std::int64_t aDefault);
double NumberField(const boost::json::object& aObject, std::string_view aName, double aDefault);
bool BooleanField(const boost::json::object& aObject, std::string_view aName, bool aDefault);
std::string StringField(const boost::json::object& aObject, std::string_view aName);
std::vector<std::string> StringArrayField(const boost::json::object& aObject,
                                          std::string_view aName);

} // namespace masticstep::standins
