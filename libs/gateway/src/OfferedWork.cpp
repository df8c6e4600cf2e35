#include "OfferedWork.hpp"

#include "masticstep/base/Hash.hpp"
#include "masticstep/roles/WorkEstimate.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace masticstep::gateway {

namespace {

constexpr double kThousandthsPerEngine = 1000.0;

long ToThousandths(double aWork)
{
  return std::lround(aWork * kThousandthsPerEngine);
}

// Parses a text that consists of one number of thousandths.
std::optional<double> ParseThousandths(std::string_view aText)
{
  long n = 0;
  const std::from_chars_result parsed =
    std::from_chars(aText.data(), aText.data() + aText.size(), n);
  if (parsed.ec != std::errc{} || parsed.ptr != aText.data() + aText.size() || n < 0) {
    return std::nullopt;
  }
  return static_cast<double>(n) / kThousandthsPerEngine;
}

void AddEntry(std::string_view aEntry, WorkByService& aSum)
{
  const std::size_t equals = aEntry.find('=');
  const std::size_t comma = aEntry.find(',', equals == std::string_view::npos ? 0 : equals);
  if (equals == std::string_view::npos || equals == 0 || comma == std::string_view::npos) {
    return;
  }
  const std::optional<double> prompt =
    ParseThousandths(aEntry.substr(equals + 1, comma - equals - 1));
  const std::optional<double> output = ParseThousandths(aEntry.substr(comma + 1));
  if (!prompt || !output) {
    return;
  }
  roles::WorkloadSample& sample = aSum[ServiceName(std::string(aEntry.substr(0, equals)))];
  sample.promptWork += *prompt;
  sample.outputWork += *output;
}

} // namespace

std::string EncodeWork(const WorkByService& aWork)
{
  std::string text;
  for (const std::pair<const ServiceName, roles::WorkloadSample>& item : aWork) {
    text += text.empty() ? "" : ";";
    text += item.first.Text();
    text += '=';
    text += std::to_string(ToThousandths(item.second.promptWork));
    text += ',';
    text += std::to_string(ToThousandths(item.second.outputWork));
  }
  return text;
}

void AddEncodedWork(std::string_view aText, WorkByService& aSum)
{
  while (!aText.empty()) {
    const std::size_t end = std::min(aText.find(';'), aText.size());
    AddEntry(aText.substr(0, end), aSum);
    aText.remove_prefix(std::min(end + 1, aText.size()));
  }
}

bool IsWorkReporter(const HostName& aHost, std::vector<HostName> aMembers)
{
  // Sorted by hash, so that the reporters are not all hosts of one rack, whose names are adjacent.
  std::sort(aMembers.begin(), aMembers.end(), [](const HostName& aLeft, const HostName& aRight) {
    return std::pair(Hash64(aLeft.Text()), aLeft) < std::pair(Hash64(aRight.Text()), aRight);
  });
  const std::vector<HostName>::const_iterator it =
    std::find(aMembers.begin(), aMembers.end(), aHost);
  return it != aMembers.end() &&
         static_cast<std::size_t>(it - aMembers.begin()) < kMaximumReporters;
}

void ScaleWork(WorkByService& aWork, std::size_t aReporters, std::size_t aMembers)
{
  if (aReporters == 0 || aReporters >= aMembers) {
    return;
  }
  const double factor = static_cast<double>(aMembers) / static_cast<double>(aReporters);
  for (std::pair<const ServiceName, roles::WorkloadSample>& item : aWork) {
    item.second.promptWork *= factor;
    item.second.outputWork *= factor;
  }
}

void OfferedWork::Add(const ServiceName& aService, std::uint32_t aPromptTokens,
                      std::uint32_t aOutputTokens)
{
  const roles::WorkloadSample work =
    roles::EstimateWork(aPromptTokens, aOutputTokens, roles::TokenCosts{});
  const std::lock_guard<std::mutex> lock(mMutex);
  roles::WorkloadSample& sum = mSums[aService];
  sum.promptWork += work.promptWork;
  sum.outputWork += work.outputWork;
}

WorkByService OfferedWork::Take(Duration aSpan)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  WorkByService work = std::move(mSums);
  mSums.clear();
  for (std::pair<const ServiceName, roles::WorkloadSample>& item : work) {
    item.second.promptWork /= ToSeconds(aSpan);
    item.second.outputWork /= ToSeconds(aSpan);
  }
  return work;
}

} // namespace masticstep::gateway
