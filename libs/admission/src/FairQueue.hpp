#pragma once

#include "masticstep/admission/AdmissionRequest.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <list>
#include <unordered_map>
#include <vector>

namespace masticstep::admission {

// Waiting requests of one class, shared among accounts by deficit round robin in tokens
// (Shreedhar and Varghese, 1995). An account that begins to wait, and was not served while the
// others got their fair shares, is served before the round goes on, as FQ-CoDel (RFC 8290) does
// with new flows: requests here wait for one or two turns at most, too few for a round to even out.
class FairQueue
{
public:
  explicit FairQueue(double aQuantumTokens);

  void Push(const AdmissionRequest& aRequest, double aWeight);
  // The request whose turn it is; null if none waits. Stable until Push, Pop or Remove.
  const AdmissionRequest* Front();
  AdmissionRequest Pop();
  // Puts a request that was popped back in the order of arrival, with the deficit it had used.
  void Return(const AdmissionRequest& aRequest, double aWeight);
  bool Remove(RequestId aId);
  // Takes out every request that the condition holds for.
  std::vector<AdmissionRequest> RemoveIf(
    const std::function<bool(const AdmissionRequest&)>& aCondition);

  std::size_t Size() const { return mSize; }
  std::size_t SizeOf(const AccountName& aAccount) const;
  // Tokens served before a new request of the account, if no further account joins.
  double TokensAhead(const AccountName& aAccount, double aWeight) const;

private:
  struct AccountQueue
  {
    std::deque<AdmissionRequest> requests;
    double weight = 1.0;
    double deficit = 0.0;
    double tokens = 0.0;
    bool isNew = false;
  };

  // Places an account that begins to wait in the round.
  void Join(const AdmissionRequest& aFirst, AccountQueue& aAccount);
  bool HasWaitedItsShare(const AdmissionRequest& aFirst) const;

  void Forget(const AccountName& aAccount);

  double mQuantumTokens;
  std::size_t mSize = 0;
  double mTokens = 0.0;
  double mWeights = 0.0;
  std::unordered_map<AccountName, AccountQueue> mAccounts;
  std::list<AccountName> mRound;
  // Tokens served so far, and as they were when an account was last served.
  double mServed = 0.0;
  std::unordered_map<AccountName, double> mServedAt;
};

} // namespace masticstep::admission
