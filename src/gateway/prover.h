// Obtains the evidence that the primary of a service had not been replaced at a given time.
#ifndef TOUCAN_GATEWAY_PROVER_H
#define TOUCAN_GATEWAY_PROVER_H

#include "gateway/pool.h"

#include <functional>
#include <map>
#include <string_view>
#include <vector>

namespace toucan::gateway {

class ServiceRouter;

enum class LeadProof : uint8_t {
  Proven,     // no commit of a later term was acknowledged before the time asked for
  Superseded, // a later term has begun; the same target may lead it
  Unproven,   // not enough targets answered in time
};

std::string_view leadProofName(LeadProof P);

// Asks targets for their term. All reads that wait for a proof share the answers.
class LeadProver {
public:
  using Handler = std::function<void(LeadProof)>;

  LeadProver(Loop &InLoop, Codec &Protocol, Metrics &Counters, ServiceRouter &Router)
      : InLoop(InLoop), Protocol(Protocol), Counters(Counters), Router(Router) {}

  // Asks as many witnesses as are needed, unless they were asked at Since or later.
  void ask(Instant Since);
  // Asks all targets, to find the primary of a later term.
  void askAll(Instant Since);
  // Asks the Count nearest replicas that are not leaving for their state, unless an answer is
  // awaited.
  void askReplicas(size_t Count);
  // Asks a primary for the term that it leads, after a later term than the one known was seen.
  void askLeader(TargetPool &Pool);
  // Calls Done when it is known whether the primary of L had been replaced at Since; Unproven at
  // the latest at Deadline.
  void prove(const placement::Lead &L, Instant Since, Instant Deadline, Handler Done);
  // Whether as many targets as needed can be asked.
  bool enoughWitnesses() const;
  // Since when the primary is known, needs witnesses, and no other target answers; infinite future
  // otherwise.
  Instant witnessesMissingSince() const { return this->WitnessesMissingSince; }
  // Whether a proof is pending.
  bool waiting() const { return !this->Pending.empty(); }
  // Asks further targets for overdue proofs and ends proofs whose deadline has passed.
  void tick();
  // Ends the proofs that can be decided now. Called after new evidence.
  void settle();

private:
  struct Inquiry {
    bool InFlight = false;
    Instant SentAt = absl::InfinitePast();
    // A read that arrived after SentAt needs a newer answer.
    bool Repeat = false;
    Instant FailedUntil = absl::InfinitePast();
  };
  struct PendingProof {
    placement::Lead By;
    Instant Since;
    Instant Deadline;
    Instant AskAllAt;
    Handler Done;
  };

  std::vector<TargetPool *> candidates() const;
  void askTarget(TargetPool &Pool, Instant Since);
  void onAnswer(const TargetId &Id, const Answer *Reply);
  std::optional<LeadProof> decide(const PendingProof &P, Instant Now) const;
  TargetPool *leaderToAsk(const PendingProof &P) const;

  Loop &InLoop;
  Codec &Protocol;
  Metrics &Counters;
  ServiceRouter &Router;
  std::map<TargetId, Inquiry> Inquiries;
  std::vector<PendingProof> Pending;
  Instant WitnessesMissingSince = absl::InfiniteFuture();
};

} // namespace toucan::gateway

#endif // TOUCAN_GATEWAY_PROVER_H
