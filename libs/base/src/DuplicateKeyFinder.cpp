#include "DuplicateKeyFinder.hpp"

#include <boost/json/basic_parser_impl.hpp>

#include <cstdint>
#include <set>

namespace masticstep {

namespace {

constexpr std::size_t kMaximumDuplicates = 16;

// Event handler of Boost.JSON's streaming parser. The names of its members are fixed by that
// interface. NOLINTBEGIN(readability-identifier-naming)
class KeyHandler
{
public:
  static constexpr std::size_t max_object_size = SIZE_MAX;
  static constexpr std::size_t max_array_size = SIZE_MAX;
  static constexpr std::size_t max_key_size = SIZE_MAX;
  static constexpr std::size_t max_string_size = SIZE_MAX;
  using Text = boost::json::string_view;
  using ErrorCode = boost::system::error_code;

  bool on_document_begin(ErrorCode&) { return true; }
  bool on_document_end(ErrorCode&) { return true; }
  bool on_object_begin(ErrorCode&) { return Open(false); }
  bool on_object_end(std::size_t, ErrorCode&) { return Close(); }
  bool on_array_begin(ErrorCode&) { return Open(true); }
  bool on_array_end(std::size_t, ErrorCode&) { return Close(); }
  bool on_key_part(Text aText, std::size_t, ErrorCode&)
  {
    mKey.append(aText.data(), aText.size());
    return true;
  }
  bool on_key(Text aText, std::size_t, ErrorCode&)
  {
    mKey.append(aText.data(), aText.size());
    mLevels.back().key = mKey;
    const bool isDuplicate = !mLevels.back().keys.insert(mKey).second;
    if (isDuplicate && mDuplicates.size() < kMaximumDuplicates) {
      mDuplicates.push_back(Path());
    }
    mKey.clear();
    return true;
  }
  bool on_string_part(Text, std::size_t, ErrorCode&) { return true; }
  bool on_string(Text, std::size_t, ErrorCode&) { return Value(); }
  bool on_number_part(Text, ErrorCode&) { return true; }
  bool on_int64(std::int64_t, Text, ErrorCode&) { return Value(); }
  bool on_uint64(std::uint64_t, Text, ErrorCode&) { return Value(); }
  bool on_double(double, Text, ErrorCode&) { return Value(); }
  bool on_bool(bool, ErrorCode&) { return Value(); }
  bool on_null(ErrorCode&) { return Value(); }
  bool on_comment_part(Text, ErrorCode&) { return true; }
  bool on_comment(Text, ErrorCode&) { return true; }

  std::vector<std::string> mDuplicates;

private:
  struct Level
  {
    bool isArray = false;
    std::size_t index = 0;
    std::string key;
    std::set<std::string> keys;
  };

  bool Open(bool aIsArray)
  {
    mLevels.push_back({ aIsArray, 0, {}, {} });
    return true;
  }
  bool Close()
  {
    mLevels.pop_back();
    return Value();
  }
  bool Value()
  {
    if (!mLevels.empty() && mLevels.back().isArray) {
      ++mLevels.back().index;
    }
    return true;
  }
  std::string Path() const
  {
    std::string path = "$";
    for (const Level& level : mLevels) {
      path += level.isArray ? "[" + std::to_string(level.index) + "]" : "." + level.key;
    }
    return path;
  }

  std::vector<Level> mLevels;
  std::string mKey;
};
// NOLINTEND(readability-identifier-naming)

} // namespace

std::vector<std::string> FindDuplicateKeys(std::string_view aText)
{
  boost::json::basic_parser<KeyHandler> parser{ boost::json::parse_options{} };
  boost::system::error_code ec;
  parser.write_some(false, aText.data(), aText.size(), ec);
  return parser.handler().mDuplicates;
}

} // namespace masticstep
