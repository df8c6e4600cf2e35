#include "common/GeneratedText.hpp"

#include "masticstep/base/Hash.hpp"

#include <algorithm>

namespace masticstep::standins {

std::string TokenText(std::uint64_t aPromptHash, std::uint32_t aNumber)
{
  constexpr std::size_t kLettersPerToken = 5;
  constexpr std::uint64_t kAlphabetSize = 26;
  std::uint64_t bits = Hash64(std::to_string(aNumber), aPromptHash);
  std::string text = aNumber == 0 ? "" : " ";
  for (std::size_t i = 0; i < kLettersPerToken; ++i) {
    text += static_cast<char>('a' + bits % kAlphabetSize);
    bits /= kAlphabetSize;
  }
  return text;
}

std::string GeneratedText(std::string_view aPrompt, std::uint32_t aTokens)
{
  const std::uint64_t hash = Hash64(aPrompt);
  std::string text;
  for (std::uint32_t i = 0; i < aTokens; ++i) {
    text += TokenText(hash, i);
  }
  return text;
}

std::uint32_t CountPromptTokens(std::string_view aPrompt)
{
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>((aPrompt.size() + 3) / 4));
}

std::vector<std::uint64_t> PrefixHashes(std::string_view aPrompt)
{
  std::vector<std::uint64_t> hashes;
  std::uint64_t hash = 0;
  for (std::size_t i = 0; i + kBytesPerHash <= aPrompt.size(); i += kBytesPerHash) {
    hash = Hash64(aPrompt.substr(i, kBytesPerHash), hash);
    hashes.push_back(hash);
  }
  return hashes;
}

} // namespace masticstep::standins
