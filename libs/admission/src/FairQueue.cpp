#include "FairQueue.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::admission {

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
    mRound.push_back(aRequest.account);
  }
  account.requests.push_back(aRequest);
  account.tokens += aRequest.tokens;
  mTokens += aRequest.tokens;
  ++mSize;
}

void FairQueue::Return(const AdmissionRequest& aRequest, double aWeight)
{
  Push(aRequest, aWeight);
  AccountQueue& account = mAccounts[aRequest.account];
  account.deficit += aRequest.tokens;
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
