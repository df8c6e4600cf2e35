#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace masticstep {

// Returns the JSON path of each key that stands a second time in its object. Boost.JSON keeps the
// last value of a duplicate key without an error, so the text is scanned once more. The text must
// be valid JSON.
std::vector<std::string> FindDuplicateKeys(std::string_view aText);

} // namespace masticstep
