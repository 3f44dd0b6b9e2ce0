// Decisions of "rules apply": what an answer of the platform means, which instances have confirmed,
// and which text and exit code the operator gets. No I/O.
#ifndef TOUCAN_CTL_APPLY_H
#define TOUCAN_CTL_APPLY_H

#include "ctl/query.h"
#include "ctl/table.h"
#include "platform/platform.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace toucan::ctl {

// What the rules row shows when it is read after a write that got no answer.
enum class ReadBackResult : uint8_t {
  TextInForce,  // the text is in force
  BaseInForce,  // the base version is still in force; the write may still take effect
  Conflict,     // another change replaced the base version, so the write can no longer take effect
  LaterVersion, // a later version has another text; the write may be one of the versions before it
};
// Compares the rules row with the base version and the text of the write.
ReadBackResult classifyReadBack(uint64_t Base, std::string_view Text, const platform::Row &Found);

struct UnconfirmedInstance {
  InstanceId Id;
  std::string Cause;
};

// Tracks which instances have confirmed that they have a given version of the rules or a later one.
// Versions only grow, so an instance that has confirmed stays confirmed.
class Confirmation {
public:
  explicit Confirmation(uint64_t Version) : Version(Version) {}

  // Starts a round of requests. Forgets which instances were reported in the round before.
  void beginRound();
  // Sets the instances that the platform lists as live.
  void setListed(const std::vector<Peer> &Live);
  // Returns the instances to query in this round.
  std::vector<Peer> peersToQuery() const;
  // Records an answer to StatusRequest. Members that it reports as alive must confirm as well,
  // because a new instance may still be missing in the platform's list.
  void recordAnswer(const Answer &A);
  // Drops unconfirmed unlisted instances that no answer of this round reports as alive. Does
  // nothing if the round had no answers.
  void endRound();
  // Returns true if there are instances and all have confirmed.
  bool complete() const;
  std::vector<UnconfirmedInstance> unconfirmed() const;
  size_t instanceCount() const { return this->Instances.size(); }

private:
  struct Instance {
    std::string LinkEndpoint;
    bool Listed = true;    // listed by the platform; if false, another instance reported it
    bool Reported = false; // another instance reported it as alive in this round
    bool Confirmed = false;
    std::string Cause = "not queried";
  };
  bool mustQueryAll() const;

  uint64_t Version;
  size_t AnswersInRound = 0;
  std::map<InstanceId, Instance> Instances;
};

enum class ApplyResult : uint8_t {
  InForce,      // all live instances have confirmed
  NotConfirmed, // written; some instances have not confirmed
  Conflict,     // another version than the base is in force; nothing was written
  NotWritten,   // the platform did not write
  WriteUnknown, // the write was sent; whether it took effect is not known
};

struct ApplyReport {
  ApplyResult Result = ApplyResult::NotWritten;
  uint64_t Base = 0;
  uint64_t Version = 0;                // the version written; for Conflict, the version in force
  std::string Difference;              // difference from the text in force to the file
  std::optional<std::string> BaseText; // for Conflict: text of the base version, if it is stored
  std::string InForceText;             // for Conflict: text in force
  size_t LiveCount = 0;
  std::vector<UnconfirmedInstance> Unconfirmed;
  // Cause of NotWritten, of WriteUnknown, and of NotConfirmed if no instances are known.
  std::string Detail;
  bool Unreachable = false; // no answer of the platform decided the result
};

int applyExitCode(const ApplyReport &R);
// Returns the final lines of the text output. The difference is not among them, because it is
// printed before the write.
std::string applyText(const ApplyReport &R);
Json applyJson(const ApplyReport &R);

} // namespace toucan::ctl

#endif // TOUCAN_CTL_APPLY_H
