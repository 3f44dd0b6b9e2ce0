// Shares the sampled positions of the services' primaries among the instances of a data centre.
#ifndef TOUCAN_GATEWAY_SAMPLES_H
#define TOUCAN_GATEWAY_SAMPLES_H

#include "catalog/catalog.h"
#include "gateway/instances.h"
#include "placement/samplers.h"
#include "proto/link.pb.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace toucan::gateway {

// A service whose positions are shared.
class SampleSource {
public:
  virtual ~SampleSource() = default;
  // Whether the reads of this instance may use samples of another one.
  virtual bool sharesSamples() const = 0;
  virtual placement::SampleTimes sampleTimes() const = 0;
  // The newest position of which this instance itself has evidence. A sample received from another
  // instance is never passed on.
  virtual std::optional<placement::SharedSample> ownSample() const = 0;
  // Another instance relies on this one to take samples.
  virtual void onSampleAsked(Instant Now) = 0;
  // Returns false if the sample is not used.
  virtual bool onSharedSample(const placement::SharedSample &Sample) = 0;
  // Whether another instance takes the samples for the reads of this one.
  virtual void setSampledElsewhere(bool Elsewhere) = 0;
};

// Asks the sampler of each service for its newest sample, and answers such requests. All calls
// happen on the loop's thread; Now is read from monotonicNow() at the time of the call where the
// message is answered, because the loop's time may be older than the request.
class SharedSamples {
public:
  // Returns false if the message was certainly not sent.
  using Sender = std::function<bool(const InstanceId &To, proto::Envelope Message)>;
  // Null if this instance does not know the service.
  using SourceLookup = std::function<SampleSource *(const catalog::ServiceName &)>;
  using Sources = std::vector<std::pair<catalog::ServiceName, SampleSource *>>;

  struct Options {
    InstanceId Self;
    DataCentre Centre;
    uint32_t MilliCores = 0;
    // Request ids start above this value. It must differ between processes of the same instance: an
    // answer that is taken for one to a later request would make its sample too young.
    uint64_t FirstRequest = 0;
  };
  SharedSamples(Metrics &Counters, Options Own, Sender Send, SourceLookup Find);

  // The live instances according to the store.
  void setInstances(const std::map<InstanceId, InstanceAddress> &Alive);
  // Sends the requests that are due and replaces samplers that have not answered. Called before the
  // services take their own samples.
  void tick(const Sources &All, Instant Now);
  void onRequest(const InstanceId &From, const proto::SampleRequest &R, Instant Now);
  void onReply(const InstanceId &From, const proto::SampleReply &R, Instant Now);

private:
  struct Request {
    InstanceId To;
    Instant AskedAt;
    std::vector<catalog::ServiceName> Services;
    bool Overdue = false;
  };
  struct ServiceState {
    InstanceId Sampler;
    Instant OwnUntil = absl::InfinitePast(); // this instance takes the samples until then
  };
  struct Wanted {
    catalog::ServiceName Service;
    SampleSource *Source = nullptr;
    Instant Newest;
    bool Due = false;
  };

  void expireRequests(Instant Now);
  void noteSampler(const catalog::ServiceName &Service, const InstanceId &Sampler);
  void ask(const InstanceId &Sampler, std::vector<Wanted> Services, Instant Now);
  void onLost(const InstanceId &Sampler, std::string_view Cause, Instant Now);
  void fallBack(const catalog::ServiceName &Service, Instant Now);
  bool awaitsAnswer(const InstanceId &Sampler) const;

  Metrics &Counters;
  Options Own;
  Sender Send;
  SourceLookup Find;
  placement::Samplers Choice;
  std::map<catalog::ServiceName, ServiceState> States;
  std::map<uint64_t, Request> Requests;
  std::map<InstanceId, Instant> LastAsked;
  uint64_t NextId;
};

} // namespace toucan::gateway

#endif // TOUCAN_GATEWAY_SAMPLES_H
