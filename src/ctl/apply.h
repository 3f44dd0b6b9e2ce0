// Decisions of "rules apply": what an answer of the platform means, which instances have confirmed,
// and what the operator is told. No I/O.
#ifndef TOUCAN_CTL_APPLY_H
#define TOUCAN_CTL_APPLY_H

#include "ctl/ask.h"
#include "ctl/table.h"
#include "platform/platform.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace toucan::ctl {

// What a read after a write without an answer shows.
enum class ReadBack : uint8_t {
  Ours,     // the text is in force
  NotYet,   // the base is still in force; the write may still take effect
  Conflict, // another change followed the base, so the write cannot take effect any more
  Unclear,  // later versions are in force; the write may have been one of those in between
};
ReadBack judgeReadBack(uint64_t Base, std::string_view Text, const platform::Row &Found);

struct Unconfirmed {
  InstanceId Id;
  std::string Cause;
};

// Collects which instances have a version of the rules or a later one. Versions only grow, so an
// instance that has confirmed stays confirmed.
class Confirmation {
public:
  explicit Confirmation(uint64_t Version) : Version(Version) {}

  // Starts a round of questions.
  void beginRound();
  // Sets the instances that the platform lists as live.
  void expect(const std::vector<Peer> &Live);
  // Whom to ask in this round.
  std::vector<Peer> toAsk() const;
  // Takes an answer to StatusRequest. Members that it reports as alive must confirm as well: the
  // platform's list lags, and a new instance may be missing in it.
  void record(const Answer &A);
  // Drops unlisted instances that no answer of this round reports as alive.
  void endRound();
  // True if there are instances and all have confirmed.
  bool complete() const;
  std::vector<Unconfirmed> missing() const;
  size_t expected() const { return this->Instances.size(); }

private:
  struct Instance {
    std::string LinkEndpoint;
    bool Listed = true;    // by the platform; otherwise reported by another instance
    bool Reported = false; // as alive by another instance in this round
    bool Confirmed = false;
    std::string Cause = "not asked";
  };
  bool mustAskReporters() const;

  uint64_t Version;
  size_t AnswersInRound = 0;
  std::map<InstanceId, Instance> Instances;
};

enum class ApplyResult : uint8_t {
  InForce,      // all live instances have confirmed
  NotConfirmed, // written; some instances have not confirmed
  Conflict,     // another version than the base is in force; nothing was written
  NotWritten,   // the platform did nothing
  WriteUnknown, // the write was sent; what became of it is not known
};

struct ApplyReport {
  ApplyResult Result = ApplyResult::NotWritten;
  uint64_t Base = 0;
  uint64_t Version = 0;                // written; for Conflict the one in force
  std::string Difference;              // from the text in force to the file
  std::optional<std::string> BaseText; // for Conflict, if it is known
  std::string ForceText;               // for Conflict
  size_t Live = 0;
  std::vector<Unconfirmed> Missing;
  std::string Detail;       // cause, for NotWritten, WriteUnknown and NotConfirmed without a list
  bool Unreachable = false; // the platform gave no answer that settles the result
};

int applyExit(const ApplyReport &R);
// The last lines for people. The difference is not part of it; it is shown before the write.
std::string applyText(const ApplyReport &R);
Json applyJson(const ApplyReport &R);

} // namespace toucan::ctl

#endif // TOUCAN_CTL_APPLY_H
