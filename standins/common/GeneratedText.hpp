#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace masticstep::standins {

// The text that an engine stand-in generates is a function of the prompt and the token's number, so
// that a reader can check that an answer is whole and belongs to its request.
std::string TokenText(std::uint64_t aPromptHash, std::uint32_t aNumber);

// Returns the first tokens of the answer to a prompt, joined.
std::string GeneratedText(std::string_view aPrompt, std::uint32_t aTokens);

// Tokens of a prompt: one for each four bytes, rounded up, at least one.
std::uint32_t PromptTokens(std::string_view aPrompt);

// Tokens of one KV block, and so of one entry of the prefix cache.
constexpr std::uint32_t kBlockTokens = 32;
constexpr std::uint32_t kBlockBytes = 4 * kBlockTokens;

// Hash of each whole block of a prompt: Hash64 of the block's 128 bytes, with the hash of the block
// before it as the seed (0 for the first). Equal hashes mean equal prefixes up to that block.
std::vector<std::uint64_t> PrefixHashes(std::string_view aPrompt);

} // namespace masticstep::standins
