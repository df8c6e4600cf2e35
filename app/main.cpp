#include "masticstep/gateway/Serve.hpp"

#include <iostream>
#include <string>

int main(int aCount, char** aArguments)
{
  constexpr int kUsage = 2;
  if (aCount == 4 && std::string(aArguments[1]) == "serve" &&
      std::string(aArguments[2]) == "--settings") {
    return static_cast<int>(masticstep::gateway::Serve(aArguments[3]));
  }
  std::cerr << "usage: masticstep serve --settings FILE\n";
  return kUsage;
}
