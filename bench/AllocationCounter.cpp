#include "AllocationCounter.hpp"

#include <malloc.h>

#include <cstdlib>
#include <new>

namespace {

// The program has one thread.
std::size_t sAllocations = 0;

} // namespace

void* operator new(std::size_t aSize)
{
  ++sAllocations;
  void* memory = std::malloc(aSize); // NOLINT(cppcoreguidelines-no-malloc)
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  return memory;
}

void operator delete(void* aMemory) noexcept
{
  std::free(aMemory); // NOLINT(cppcoreguidelines-no-malloc)
}

void operator delete(void* aMemory, std::size_t) noexcept
{
  std::free(aMemory); // NOLINT(cppcoreguidelines-no-malloc)
}

namespace masticstep::bench {

std::size_t Allocations()
{
  return sAllocations;
}

std::size_t AllocatedBytes()
{
  return mallinfo2().uordblks;
}

} // namespace masticstep::bench
