#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace masticstep::standins {

// Lenient readers: a missing member or one of another type gives the default value.
std::int64_t IntegerField(const boost::json::object& aObject, std::string_view aName,
                          std::int64_t aDefault);
double NumberField(const boost::json::object& aObject, std::string_view aName, double aDefault);
bool BooleanField(const boost::json::object& aObject, std::string_view aName, bool aDefault);
std::string TextField(const boost::json::object& aObject, std::string_view aName);
std::vector<std::string> TextsField(const boost::json::object& aObject, std::string_view aName);

} // namespace masticstep::standins
