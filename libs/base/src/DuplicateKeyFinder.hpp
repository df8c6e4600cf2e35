#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace masticstep {

// Returns the JSON paths of the first 16 keys that stand a second time in their object. Boost.JSON
// keeps the last value of a duplicate key without an error, so the text is scanned once more. The
// text must be valid JSON.
std::vector<std::string> FindDuplicateKeys(std::string_view aText);

} // namespace masticstep
