#pragma once

#include "masticstep/base/Fault.hpp"

#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace masticstep {

// Inclusive range of an integer setting.
struct IntegerRange
{
  std::int64_t minimum = 0;
  std::int64_t maximum = 0;
};

// Parses JSON text whose top level is an object. Reports syntax errors and duplicate keys as faults
// and then returns nothing.
std::optional<boost::json::object> ParseObject(std::string_view aText, const std::string& aFile,
                                               Faults& aFaults);

// Reads the members of one JSON object and collects every fault instead of stopping at the first.
// Accessors return a default value after reporting a fault. Finish reports the keys that nobody
// read.
class ObjectReader
{
public:
  ObjectReader(const boost::json::object& aObject, std::string aFile, std::string aPath,
               Faults& aFaults);

  bool Has(std::string_view aKey) const;
  std::string RequiredString(std::string_view aKey);
  std::string OptionalString(std::string_view aKey, std::string aDefault);
  // Returns a name: 1 to 64 characters from a-z, 0-9, '.', '_' and '-'.
  std::string RequiredName(std::string_view aKey);
  std::int64_t RequiredInteger(std::string_view aKey, IntegerRange aRange);
  std::int64_t OptionalInteger(std::string_view aKey, IntegerRange aRange, std::int64_t aDefault);
  double OptionalNumber(std::string_view aKey, double aMinimum, double aMaximum, double aDefault);
  // Returns the members of an object whose values are numbers within the range.
  std::map<std::string, double> RequiredNumbers(std::string_view aKey, double aMinimum,
                                                double aMaximum);
  bool RequiredBoolean(std::string_view aKey);
  bool OptionalBoolean(std::string_view aKey, bool aDefault);
  // Returns the index of the string among the choices; 0 after a fault.
  std::size_t RequiredChoice(std::string_view aKey, const std::vector<std::string>& aChoices);
  std::vector<std::string> StringList(std::string_view aKey, bool aRequired);
  // Returns a reader of each object in the array.
  std::vector<ObjectReader> ObjectList(std::string_view aKey, bool aRequired);
  std::optional<ObjectReader> OptionalObject(std::string_view aKey);

  // Reports a fault at the key, or at the object itself if the key is empty.
  void Report(std::string_view aKey, std::string aProblem, std::string aAllowed = {});
  // Reports keys that no accessor asked for. Call it once, last.
  void Finish();

  const std::string& Path() const { return mPath; }
  const std::string& File() const { return mFile; }

private:
  const boost::json::value* Find(std::string_view aKey, bool aRequired);
  std::string PathOf(std::string_view aKey) const;

  const boost::json::object* mObject;
  std::string mFile;
  std::string mPath;
  Faults* mFaults;
  std::set<std::string, std::less<>> mKnownKeys;
};

} // namespace masticstep
