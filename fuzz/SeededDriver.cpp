// Runs a fuzz target over its corpus and over seeded mutations of it, for builds without libFuzzer.

#include "masticstep/base/Random.hpp"

#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <set>
#include <string>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize);

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr int kMutationsPerFile = 3000; // about a second for each target
constexpr std::uint64_t kMaximumEdits = 8;

std::vector<std::string> ReadCorpus(const std::string& aFolder)
{
  std::set<std::string> paths; // sorted: the order of a folder differs between machines
  for (const std::filesystem::directory_entry& entry :
       std::filesystem::directory_iterator(aFolder)) {
    paths.insert(entry.path().string());
  }
  std::vector<std::string> texts;
  for (const std::string& path : paths) {
    std::ifstream stream(path, std::ios::binary);
    texts.emplace_back(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>());
  }
  return texts;
}

void Edit(std::string& aText, masticstep::Random& aRandom)
{
  const std::size_t position = aRandom.Below(aText.size() + 1);
  const char byte = static_cast<char>(aRandom.Below(256));
  switch (aRandom.Below(4)) {
    case 0:
      aText.insert(position, 1, byte);
      break;
    case 1:
      aText.erase(position, aRandom.Below(16));
      break;
    case 2:
      aText.insert(position, aText.substr(aRandom.Below(aText.size() + 1), aRandom.Below(64)));
      break;
    default:
      if (position < aText.size()) {
        aText[position] = byte;
      }
  }
}

void Run(const std::string& aText)
{
  LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(aText.data()), aText.size());
}

} // namespace

int main(int aCount, char** aArguments)
{
  const std::vector<std::string> corpus =
    aCount > 1 ? ReadCorpus(aArguments[1]) : std::vector<std::string>{};
  if (corpus.empty()) {
    std::cerr << "usage: " << aArguments[0] << " CORPUS_FOLDER (with at least one file)\n";
    return EXIT_FAILURE;
  }
  masticstep::Random random(kSeed);
  std::size_t runs = 0;
  for (const std::string& text : corpus) {
    Run(text);
    for (int i = 0; i < kMutationsPerFile; ++i, ++runs) {
      std::string changed = text;
      for (std::uint64_t n = 1 + random.Below(kMaximumEdits); n > 0; --n) {
        Edit(changed, random);
      }
      Run(changed);
    }
  }
  std::cout << runs << " inputs run\n";
  return EXIT_SUCCESS;
}
