// Reaches targets through other instances, for a change of the primary of a service.
#ifndef TOUCAN_GATEWAY_OBSERVERS_H
#define TOUCAN_GATEWAY_OBSERVERS_H

#include "gateway/peers.h"
#include "gateway/router.h"
#include "promotion/promotion.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace toucan::gateway {

// A target of a service.
struct ServiceTarget {
  catalog::ServiceName Service;
  TargetId Target;
};

// Asks other instances for targets, and answers them. All calls happen on the loop's thread.
class LeaderObservers {
public:
  // Finds the router of a service; null if this instance does not know the service.
  using RouterLookup = std::function<ServiceRouter *(const catalog::ServiceName &)>;
  using Handler = std::function<void(const promotion::Observation &)>;

  // Seed: of the random choice of the instances that are asked.
  LeaderObservers(Loop &InLoop, Codec &Protocol, Metrics &Counters, PeerLink &Peers,
                  RouterLookup FindRouter, uint64_t Seed);

  // Asks some instances whether they reach Of. Done gets the first answer of one that does; not
  // reached if all of those asked answered that they do not, or at Deadline.
  void observe(const ServiceTarget &Of, Instant Deadline, Handler Done);
  // Makes Of step down below the term through an instance that reaches it: the one that answered
  // observe(), or this instance. Not reached if the answer is missing at Deadline.
  void stepDown(const ServiceTarget &Of, Term Below, Instant Deadline, Handler Done);

private:
  struct Request {
    ServiceTarget Of;
    size_t Awaited = 0; // answers still expected
    Handler Done;
    TimerId Timer;
  };

  void send(const InstanceId &To, const ServiceTarget &Of, Term StepDownBelow, uint64_t Id,
            Instant Deadline);
  uint64_t await(const ServiceTarget &Of, size_t Answers, Instant Deadline, Handler Done);
  void onAnswer(uint64_t Id, const InstanceId &From, const promotion::Observation &O);
  void onRequest(const InstanceId &From, const proto::LeaderRequest &R);
  void onReply(const InstanceId &From, const proto::LeaderReply &R);
  void finish(uint64_t Id, const promotion::Observation &O);
  void askTarget(const ServiceTarget &Of, Term StepDownBelow, Instant Deadline,
                 const Handler &Done);

  Loop &InLoop;
  Codec &Protocol;
  Metrics &Counters;
  PeerLink &Peers;
  RouterLookup FindRouter;
  std::map<uint64_t, Request> Requests;
  std::map<TargetId, InstanceId> ObserverOf; // the instance that reached a target last
  std::mt19937_64 Random;
  uint64_t NextId = 1;
};

} // namespace toucan::gateway

#endif // TOUCAN_GATEWAY_OBSERVERS_H
