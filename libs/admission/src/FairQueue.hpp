#pragma once

#include "masticstep/admission/AdmissionRequest.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <list>
#include <unordered_map>
#include <vector>

namespace masticstep::admission {

// Queued requests of one class, shared among accounts by deficit round robin in tokens (Shreedhar
// and Varghese, 1995). An account that becomes active is served ahead of the round, like a new flow
// in FQ-CoDel (RFC 8290), if it was not served before or if the tokens served since then would have
// sufficed for a request of the same size from each active account. Requests wait here for only one
// or two turns, too short a time for plain round robin to be fair.
class FairQueue
{
public:
  explicit FairQueue(double aQuantumTokens);

  void Push(const AdmissionRequest& aRequest, double aWeight);
  // Returns the request to serve next, or null if the queue is empty. The pointer is valid until
  // the next Push, Pop or Remove.
  const AdmissionRequest* Front();
  AdmissionRequest Pop();
  // Puts a popped request back in order of arrival and restores the deficit that it used.
  void Requeue(const AdmissionRequest& aRequest, double aWeight);
  bool Remove(RequestId aId);
  // Removes and returns all requests that satisfy the condition.
  std::vector<AdmissionRequest> RemoveIf(
    const std::function<bool(const AdmissionRequest&)>& aCondition);

  std::size_t Size() const { return mSize; }
  std::size_t SizeOf(const AccountName& aAccount) const;
  // Returns the number of tokens to serve before a new request of the account, provided that no
  // other account becomes active.
  double TokensAhead(const AccountName& aAccount, double aWeight) const;

private:
  struct AccountQueue
  {
    std::deque<AdmissionRequest> requests;
    double weight = 1.0;
    double deficit = 0.0;
    double waitingTokens = 0.0;
    bool isNewFlow = false;
  };

  // Adds an account that becomes active to the round.
  void Activate(const AdmissionRequest& aFirst, AccountQueue& aAccount);
  bool QualifiesAsNewFlow(const AdmissionRequest& aFirst) const;

  void Deactivate(const AccountName& aAccount);

  double mQuantumTokens;
  std::size_t mSize = 0;
  double mWaitingTokens = 0.0;
  double mActiveWeight = 0.0;
  std::unordered_map<AccountName, AccountQueue> mAccounts;
  std::list<AccountName> mActiveAccounts;
  // Total tokens served, and its value when each account was last served.
  double mServedTokens = 0.0;
  std::unordered_map<AccountName, double> mServedTokensAtLastTurn;
};

} // namespace masticstep::admission
