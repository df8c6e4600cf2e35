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

// Tokens of one KV block.
constexpr std::uint32_t kBlockTokens = 32;
// The prefix cache works on stretches of whole blocks, as daemons hash prompts.
constexpr std::uint32_t kBlocksPerHash = 8;
constexpr std::uint32_t kTokensPerHash = kBlocksPerHash * kBlockTokens;
constexpr std::uint32_t kBytesPerHash = 4 * kTokensPerHash;

// Hash of each whole stretch of a prompt: Hash64 of its 1,024 bytes, with the hash of the stretch
// before it as the seed (0 for the first). Equal hashes mean equal prefixes up to that stretch.
std::vector<std::uint64_t> PrefixHashes(std::string_view aPrompt);

} // namespace masticstep::standins
