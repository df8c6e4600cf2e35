#include "FairQueue.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::admission {

namespace {

// Bounds the memory of who was served; forgetting it lets each account begin once more in front.
constexpr std::size_t kRememberedAccounts = 8192;

} // namespace

FairQueue::FairQueue(double aQuantumTokens)
  : mQuantumTokens(aQuantumTokens)
{
}

void FairQueue::Push(const AdmissionRequest& aRequest, double aWeight)
{
  AccountQueue& account = mAccounts[aRequest.account];
  if (account.requests.empty()) {
    account.weight = aWeight;
    mWeights += aWeight;
    Join(aRequest, account);
  }
  account.requests.push_back(aRequest);
  account.tokens += aRequest.tokens;
  mTokens += aRequest.tokens;
  ++mSize;
}

bool FairQueue::HasWaitedItsShare(const AdmissionRequest& aFirst) const
{
  const auto it = mServedAt.find(aFirst.account);
  const double others = static_cast<double>(mRound.size());
  return it == mServedAt.end() || mServed - it->second >= others * aFirst.tokens;
}

void FairQueue::Join(const AdmissionRequest& aFirst, AccountQueue& aAccount)
{
  aAccount.isNew = HasWaitedItsShare(aFirst);
  if (!aAccount.isNew) {
    mRound.push_back(aFirst.account);
    return;
  }
  aAccount.deficit = aFirst.tokens;
  const auto place = std::find_if(mRound.begin(), mRound.end(), [this](const AccountName& aOther) {
    return !mAccounts[aOther].isNew;
  });
  mRound.insert(place, aFirst.account);
}

void FairQueue::Return(const AdmissionRequest& aRequest, double aWeight)
{
  const bool wasLast = !mAccounts.contains(aRequest.account);
  mServed -= aRequest.tokens;
  Push(aRequest, aWeight);
  AccountQueue& account = mAccounts[aRequest.account];
  account.deficit = aRequest.tokens + (wasLast ? 0.0 : account.deficit);
  std::stable_sort(account.requests.begin(), account.requests.end(),
                   [](const AdmissionRequest& aLeft, const AdmissionRequest& aRight) {
                     return aLeft.arrived < aRight.arrived;
                   });
  // Its turn was not used up.
  const auto place = std::find(mRound.begin(), mRound.end(), aRequest.account);
  mRound.splice(mRound.begin(), mRound, place);
}

const AdmissionRequest* FairQueue::Front()
{
  if (mRound.empty()) {
    return nullptr;
  }
  while (true) {
    AccountQueue& account = mAccounts[mRound.front()];
    if (account.deficit >= account.requests.front().tokens) {
      return &account.requests.front();
    }
    account.deficit += mQuantumTokens * account.weight;
    mRound.splice(mRound.end(), mRound, mRound.begin());
  }
}

AdmissionRequest FairQueue::Pop()
{
  Front();
  AccountQueue& account = mAccounts[mRound.front()];
  AdmissionRequest request = std::move(account.requests.front());
  account.requests.pop_front();
  account.deficit -= request.tokens;
  account.isNew = false;
  mServed += request.tokens;
  if (mServedAt.size() >= kRememberedAccounts) {
    mServedAt.clear();
  }
  mServedAt[request.account] = mServed;
  account.tokens -= request.tokens;
  mTokens -= request.tokens;
  --mSize;
  if (account.requests.empty()) {
    Forget(request.account);
  }
  return request;
}

bool FairQueue::Remove(RequestId aId)
{
  return !RemoveIf([aId](const AdmissionRequest& aRequest) { return aRequest.id == aId; }).empty();
}

std::vector<AdmissionRequest> FairQueue::RemoveIf(
  const std::function<bool(const AdmissionRequest&)>& aCondition)
{
  std::vector<AdmissionRequest> removed;
  std::vector<AccountName> emptied;
  for (std::pair<const AccountName, AccountQueue>& item : mAccounts) {
    AccountQueue& account = item.second;
    for (auto it = account.requests.begin(); it != account.requests.end();) {
      if (!aCondition(*it)) {
        ++it;
        continue;
      }
      account.tokens -= it->tokens;
      mTokens -= it->tokens;
      --mSize;
      removed.push_back(std::move(*it));
      it = account.requests.erase(it);
    }
    if (account.requests.empty()) {
      emptied.push_back(item.first);
    }
  }
  for (const AccountName& account : emptied) {
    Forget(account);
  }
  return removed;
}

void FairQueue::Forget(const AccountName& aAccount)
{
  mWeights -= mAccounts[aAccount].weight;
  mAccounts.erase(aAccount);
  mRound.remove(aAccount);
}

std::size_t FairQueue::SizeOf(const AccountName& aAccount) const
{
  const auto it = mAccounts.find(aAccount);
  return it == mAccounts.end() ? 0 : it->second.requests.size();
}

double FairQueue::TokensAhead(const AccountName& aAccount, double aWeight) const
{
  const auto it = mAccounts.find(aAccount);
  const bool isKnown = it != mAccounts.end();
  const double own = isKnown ? it->second.tokens : 0.0;
  const double weight = isKnown ? it->second.weight : aWeight;
  const double weights = isKnown ? mWeights : mWeights + aWeight;
  // While the account's own requests are served, the others get their shares at most.
  return std::min(mTokens, (own + mQuantumTokens * weight) * weights / std::max(1e-9, weight));
}

} // namespace masticstep::admission
