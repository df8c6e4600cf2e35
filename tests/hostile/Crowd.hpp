#pragma once

#include "common/Address.hpp"

#include "masticstep/base/Time.hpp"

#include <string>
#include <vector>

namespace masticstep::hostile {

// Bytes that one caller sends before it falls silent with its connection open.
struct Script
{
  std::string first;
  std::string repeated;
  std::size_t repeats = 0;

  std::size_t Size() const { return first.size() + repeats * repeated.size(); }
};

// Callers that send their scripts at the same time as fast as they are read, read nothing and stay.
class Crowd
{
public:
  Crowd(const standins::Address& aServer, std::vector<Script> aScripts);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  // Returns once each caller has sent all or has lost its connection; false if this takes longer
  // than the limit, which only bounds a failing test.
  bool Send(Duration aLimit);
  std::size_t SentBytes() const;

private:
  struct Caller
  {
    Script script;
    std::size_t sent = 0;
    int socket = -1;
    bool isDone = false;
  };

  void SendSome(Caller& aCaller);

  std::vector<Caller> mCallers;
};

} // namespace masticstep::hostile
