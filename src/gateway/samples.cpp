#include "gateway/samples.h"

#include <algorithm>
#include <utility>

namespace toucan::gateway {

using placement::SampleMaxAge;
using placement::SharedSample;

namespace {

// Bounds the size of a message. The services with the oldest samples are asked for first.
constexpr size_t MaxServices = 512;
// Late answers are accepted for this time; an older sample is of no use to any read.
constexpr absl::Duration LateAnswerLimit = absl::Seconds(5);
// An age that is not below this is refused, which also keeps the arithmetic in range.
constexpr uint64_t MaxAgeUs = 10'000'000;

// Rounded up, because a sample must never appear younger than it is.
uint64_t ageUs(Instant CoversUntil, Instant Now) {
  absl::Duration Age = std::max(Now - CoversUntil, absl::ZeroDuration());
  return static_cast<uint64_t>(absl::ToInt64Microseconds(Age)) + 1;
}

} // namespace

SharedSamples::SharedSamples(Metrics &Counters, Options Own, Sender Send, SourceLookup Find)
    : Counters(Counters), Own(std::move(Own)), Send(std::move(Send)), Find(std::move(Find)),
      Choice({.Id = this->Own.Self, .MilliCores = this->Own.MilliCores}),
      NextId(this->Own.FirstRequest + 1) {}

// Instances of older versions tell no data centre and answer no such requests.
void SharedSamples::setInstances(const std::map<InstanceId, InstanceAddress> &Alive) {
  std::vector<placement::SamplerCandidate> Near;
  if (!this->Own.Centre.Value.empty())
    for (const auto &[Id, Address] : Alive)
      if (Address.Centre == this->Own.Centre && !Address.Endpoint.empty())
        Near.push_back({.Id = Id, .MilliCores = Address.MilliCores});
  this->Choice.setCandidates(std::move(Near));
  std::erase_if(this->LastAsked, [&](const auto &A) { return !Alive.contains(A.first); });
}

void SharedSamples::tick(const Sources &All, Instant Now) {
  this->expireRequests(Now);
  std::map<InstanceId, std::vector<Wanted>> BySampler;
  for (const auto &[Service, Source] : All) {
    if (!Source->sharesSamples()) {
      Source->setSampledElsewhere(false);
      this->States.erase(Service);
      continue;
    }
    // Most services have no reads at this instance, and the choice is linear in the instances.
    placement::SampleTimes Times = Source->sampleTimes();
    if (Now - Times.BoundedRead > placement::BoundedReadWindow)
      continue;
    const InstanceId &Sampler = this->Choice.samplerOf(Service.Value, Now);
    this->noteSampler(Service, Sampler);
    bool Elsewhere = Sampler != this->Own.Self && Now >= this->States[Service].OwnUntil;
    Source->setSampledElsewhere(Elsewhere);
    if (Elsewhere)
      BySampler[Sampler].push_back({.Service = Service,
                                    .Source = Source,
                                    .Newest = Times.Newest,
                                    .Due = placement::sharedSampleDue(Times, Now)});
  }
  for (auto &[Sampler, Services] : BySampler) {
    bool Due = std::any_of(Services.begin(), Services.end(), [](const Wanted &W) { return W.Due; });
    auto Last = this->LastAsked.find(Sampler);
    bool Recent = Last != this->LastAsked.end() && Now - Last->second < SampleMaxAge / 2;
    if (Due && !Recent && !this->awaitsAnswer(Sampler))
      this->ask(Sampler, std::move(Services), Now);
  }
}

bool SharedSamples::awaitsAnswer(const InstanceId &Sampler) const {
  return std::any_of(this->Requests.begin(), this->Requests.end(),
                     [&](const auto &R) { return R.second.To == Sampler && !R.second.Overdue; });
}

void SharedSamples::noteSampler(const catalog::ServiceName &Service, const InstanceId &Sampler) {
  ServiceState &S = this->States[Service];
  if (S.Sampler == Sampler)
    return;
  if (!S.Sampler.Value.empty())
    LogEvent(LogLevel::Info, "sampler_changed")
        .kv("service", Service.Value)
        .kv("sampler", Sampler.Value)
        .kv("former", S.Sampler.Value);
  S.Sampler = Sampler;
}

void SharedSamples::ask(const InstanceId &Sampler, std::vector<Wanted> Services, Instant Now) {
  if (Services.size() > MaxServices) {
    std::nth_element(Services.begin(), Services.begin() + MaxServices, Services.end(),
                     [](const Wanted &A, const Wanted &B) { return A.Newest < B.Newest; });
    // With several thousand services the ones left out would not be asked for in time.
    for (size_t I = MaxServices; I < Services.size(); ++I)
      if (Now - Services[I].Newest > placement::SharedSampleMaxAge)
        this->fallBack(Services[I].Service, Now);
    Services.resize(MaxServices);
  }
  uint64_t Id = this->NextId++;
  Request R{.To = Sampler, .AskedAt = Now};
  proto::Envelope Message;
  Message.mutable_sample_request()->set_request_id(Id);
  for (const Wanted &W : Services) {
    Message.mutable_sample_request()->add_services(W.Service.Value);
    R.Services.push_back(W.Service);
  }
  this->LastAsked[Sampler] = Now;
  if (this->Send(Sampler, std::move(Message))) {
    this->Counters.add("shared_samples_asked");
    this->Requests.emplace(Id, std::move(R));
    return;
  }
  for (const Wanted &W : Services)
    this->fallBack(W.Service, Now);
  this->onLost(Sampler, "not_sent", Now);
}

void SharedSamples::onLost(const InstanceId &Sampler, std::string_view Cause, Instant Now) {
  absl::Duration Pause = this->Choice.onUnanswered(Sampler, Now);
  this->Counters.add("shared_samplers_lost");
  LogEvent(LogLevel::Info, "sampler_lost")
      .kv("peer", Sampler.Value)
      .kv("cause", Cause)
      .kv("retry_ms", absl::ToInt64Milliseconds(Pause));
}

void SharedSamples::fallBack(const catalog::ServiceName &Service, Instant Now) {
  this->Counters.add("shared_samples_fallbacks");
  this->States[Service].OwnUntil = Now + SampleMaxAge;
  if (SampleSource *Source = this->Find(Service))
    Source->setSampledElsewhere(false);
}

void SharedSamples::expireRequests(Instant Now) {
  for (auto &[Id, R] : this->Requests) {
    if (R.Overdue || Now - R.AskedAt < placement::SampleAnswerTimeout)
      continue;
    R.Overdue = true;
    for (const catalog::ServiceName &Service : R.Services)
      this->fallBack(Service, Now);
    this->onLost(R.To, "no_answer", Now);
  }
  std::erase_if(this->Requests,
                [&](const auto &R) { return Now - R.second.AskedAt >= LateAnswerLimit; });
}

void SharedSamples::onRequest(const InstanceId &From, const proto::SampleRequest &R, Instant Now) {
  proto::Envelope Message;
  proto::SampleReply &Out = *Message.mutable_sample_reply();
  Out.set_request_id(R.request_id());
  for (int I = 0; I < R.services_size() && static_cast<size_t>(I) < MaxServices; ++I) {
    SampleSource *Source = this->Find(catalog::ServiceName(R.services(I)));
    if (!Source)
      continue;
    Source->onSampleAsked(Now);
    std::optional<SharedSample> S = Source->ownSample();
    if (!S)
      continue;
    proto::SampleReply::Sample &Sample = *Out.add_samples();
    Sample.set_service(R.services(I));
    Sample.mutable_position()->set_term(S->At.InTerm.Value);
    Sample.mutable_position()->set_position(S->At.Position);
    Sample.set_age_us(ageUs(S->CoversUntil, Now));
    Sample.set_witnesses(S->Witnesses);
  }
  this->Counters.add("shared_samples_answered");
  if (!this->Send(From, std::move(Message)))
    this->Counters.add("shared_samples_not_answered");
}

// The age is counted from the time of the request, which is before the time at which the sampler
// determined it. The time on the way therefore only makes the sample older.
void SharedSamples::onReply(const InstanceId &From, const proto::SampleReply &R, Instant Now) {
  auto It = this->Requests.find(R.request_id());
  if (It == this->Requests.end() || It->second.To != From)
    return;
  Request Asked = std::move(It->second);
  this->Requests.erase(It);
  std::map<std::string, const proto::SampleReply::Sample *> Found;
  for (const proto::SampleReply::Sample &S : R.samples())
    Found[S.service()] = &S;
  for (const catalog::ServiceName &Service : Asked.Services) {
    SampleSource *Source = this->Find(Service);
    auto Entry = Found.find(Service.Value);
    Instant CoversUntil = absl::InfinitePast();
    if (Source && Entry != Found.end() && Entry->second->age_us() < MaxAgeUs) {
      const proto::SampleReply::Sample &S = *Entry->second;
      Instant Until = Asked.AskedAt - absl::Microseconds(S.age_us());
      if (Source->onSharedSample(
              {.At = {.InTerm = Term(S.position().term()), .Position = S.position().position()},
               .CoversUntil = Until,
               .Witnesses = S.witnesses()})) {
        this->Counters.add("shared_samples_taken");
        CoversUntil = Until;
      } else {
        this->Counters.add("shared_samples_refused");
      }
    }
    // A late request has already fallen back.
    if (!Asked.Overdue && Now - CoversUntil > placement::SharedSampleMaxAge)
      this->fallBack(Service, Now);
  }
  if (!Asked.Overdue)
    this->Choice.onAnswered(From);
}

} // namespace toucan::gateway
