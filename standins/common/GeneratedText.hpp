#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace masticstep::standins {

// Text of one generated token. It is a function of the prompt and the token index, so that a client
// can verify that a completion is complete and belongs to its request.
std::string TokenText(std::uint64_t aPromptHash, std::uint32_t aNumber);

// Returns the concatenated text of the first aTokens tokens of the completion of a prompt.
std::string GeneratedText(std::string_view aPrompt, std::uint32_t aTokens);

// Number of tokens of a prompt: one per four bytes, rounded up, at least one.
std::uint32_t CountPromptTokens(std::string_view aPrompt);

// Tokens per KV cache block.
constexpr std::uint32_t kBlockTokens = 32;
// A prefix cache entry covers this many blocks, the same unit in which daemons hash prompts.
constexpr std::uint32_t kBlocksPerHash = 8;
constexpr std::uint32_t kTokensPerHash = kBlocksPerHash * kBlockTokens;
constexpr std::uint32_t kBytesPerHash = 4 * kTokensPerHash;

// Chained hashes of the complete 1,024-byte segments of a prompt: Hash64 of a segment, seeded with
// the hash of the preceding segment (0 for the first). Equal hashes mean that the prompts are equal
// up to the end of that segment. A trailing partial segment is not hashed.
std::vector<std::uint64_t> PrefixHashes(std::string_view aPrompt);

} // namespace masticstep::standins
