#include "FairQueue.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::admission {

namespace {

// Bounds the memory for the times of last service. When the records are cleared, each account
// qualifies as a new flow once more.
constexpr std::size_t kMaximumServiceRecords = 8192;

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
    mActiveWeight += aWeight;
    Activate(aRequest, account);
  }
  account.requests.push_back(aRequest);
  account.waitingTokens += aRequest.tokens;
  mWaitingTokens += aRequest.tokens;
  ++mSize;
}

bool FairQueue::QualifiesAsNewFlow(const AdmissionRequest& aFirst) const
{
  const auto it = mServedTokensAtLastTurn.find(aFirst.account);
  const double others = static_cast<double>(mActiveAccounts.size());
  return it == mServedTokensAtLastTurn.end() ||
         mServedTokens - it->second >= others * aFirst.tokens;
}

void FairQueue::Activate(const AdmissionRequest& aFirst, AccountQueue& aAccount)
{
  aAccount.isNewFlow = QualifiesAsNewFlow(aFirst);
  if (!aAccount.isNewFlow) {
    mActiveAccounts.push_back(aFirst.account);
    return;
  }
  aAccount.deficit = aFirst.tokens;
  const auto position =
    std::find_if(mActiveAccounts.begin(), mActiveAccounts.end(),
                 [this](const AccountName& aOther) { return !mAccounts[aOther].isNewFlow; });
  mActiveAccounts.insert(position, aFirst.account);
}

void FairQueue::Requeue(const AdmissionRequest& aRequest, double aWeight)
{
  const bool wasLast = !mAccounts.contains(aRequest.account);
  mServedTokens -= aRequest.tokens;
  Push(aRequest, aWeight);
  AccountQueue& account = mAccounts[aRequest.account];
  account.deficit = aRequest.tokens + (wasLast ? 0.0 : account.deficit);
  std::stable_sort(account.requests.begin(), account.requests.end(),
                   [](const AdmissionRequest& aLeft, const AdmissionRequest& aRight) {
                     return aLeft.arrived < aRight.arrived;
                   });
  // The account did not use up its turn.
  const auto position = std::find(mActiveAccounts.begin(), mActiveAccounts.end(), aRequest.account);
  mActiveAccounts.splice(mActiveAccounts.begin(), mActiveAccounts, position);
}

const AdmissionRequest* FairQueue::Front()
{
  if (mActiveAccounts.empty()) {
    return nullptr;
  }
  while (true) {
    AccountQueue& account = mAccounts[mActiveAccounts.front()];
    if (account.deficit >= account.requests.front().tokens) {
      return &account.requests.front();
    }
    account.deficit += mQuantumTokens * account.weight;
    mActiveAccounts.splice(mActiveAccounts.end(), mActiveAccounts, mActiveAccounts.begin());
  }
}

AdmissionRequest FairQueue::Pop()
{
  Front();
  AccountQueue& account = mAccounts[mActiveAccounts.front()];
  AdmissionRequest request = std::move(account.requests.front());
  account.requests.pop_front();
  account.deficit -= request.tokens;
  account.isNewFlow = false;
  mServedTokens += request.tokens;
  if (mServedTokensAtLastTurn.size() >= kMaximumServiceRecords) {
    mServedTokensAtLastTurn.clear();
  }
  mServedTokensAtLastTurn[request.account] = mServedTokens;
  account.waitingTokens -= request.tokens;
  mWaitingTokens -= request.tokens;
  --mSize;
  if (account.requests.empty()) {
    Deactivate(request.account);
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
      account.waitingTokens -= it->tokens;
      mWaitingTokens -= it->tokens;
      --mSize;
      removed.push_back(std::move(*it));
      it = account.requests.erase(it);
    }
    if (account.requests.empty()) {
      emptied.push_back(item.first);
    }
  }
  for (const AccountName& account : emptied) {
    Deactivate(account);
  }
  return removed;
}

void FairQueue::Deactivate(const AccountName& aAccount)
{
  mActiveWeight -= mAccounts[aAccount].weight;
  mAccounts.erase(aAccount);
  mActiveAccounts.remove(aAccount);
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
  const double own = isKnown ? it->second.waitingTokens : 0.0;
  const double weight = isKnown ? it->second.weight : aWeight;
  const double weights = isKnown ? mActiveWeight : mActiveWeight + aWeight;
  // While the account's own requests are served, the other accounts get at most their shares.
  return std::min(mWaitingTokens,
                  (own + mQuantumTokens * weight) * weights / std::max(1e-9, weight));
}

} // namespace masticstep::admission
