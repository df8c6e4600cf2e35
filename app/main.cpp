#include "masticstep/cli/Run.hpp"

#include <string>
#include <vector>

int main(int aCount, char** aArguments)
{
  const std::vector<std::string> arguments(aArguments + 1, aArguments + aCount);
  return static_cast<int>(masticstep::Run(arguments));
}
