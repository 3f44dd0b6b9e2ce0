// Samples of the primary's log position, which reads of bounded age need: the instance's own ones,
// and those that the instances of a data centre share.
#include "gateway/router.h"

#include <algorithm>
#include <utility>

namespace toucan::gateway {

namespace {

constexpr absl::Duration SampleTimeout = absl::Milliseconds(500);

} // namespace

// Reads of bounded age need a recent position of the primary. If writes and reads at the primary
// are rare, an empty transaction obtains one without taking a slot.
void ServiceRouter::samplePrimary() {
  Instant Now = this->InLoop.now();
  TargetPool *P = this->primary();
  if (!P || !this->usable(*P) ||
      !placement::ownSampleDue(this->sampleTimes(), this->SampledElsewhere, Now))
    return;
  this->SampleSentAt = Now;
  TargetId Id = P->entry().Id;
  // A sampler needs a connection even where there are fewer of them than instances.
  bool ForOthers = Now - this->SampleAsked <= placement::BoundedReadWindow;
  TargetLink *Link = ForOthers ? P->commandLink() : P->takeForSample();
  if (!Link)
    return;
  this->Counters.add("primary_samples_sent");
  this->Prover.ask(Now);
  std::vector<LinkRequest> Requests;
  SentRequest Sent{.At = Now, .To = P->lead()};
  Requests.push_back({.Request = {.Command = TargetCommand::Begin},
                      .OnAnswer = [this, Id, Sent](const Answer *Reply) {
                        TargetPool *Pool = this->pool(Id);
                        if (!Reply || !Pool)
                          return;
                        if (!Reply->Error)
                          this->onPrimaryConfirmed(*Pool, *Reply, Sent);
                        else if (Reply->Error->Code == ErrorCode::ReadOnly)
                          this->onPrimaryDenied(*Pool);
                        this->dispatch();
                      }});
  Requests.push_back(
      {.Request = {.Command = TargetCommand::Rollback}, .OnAnswer = [](const Answer *) {}});
  Link->submit(std::move(Requests), Now + SampleTimeout);
}

void ServiceRouter::noteCovered(const std::optional<placement::CoveredPosition> &Covered) {
  if (!Covered)
    return;
  this->Positions.addSample(Covered->At, Covered->CoversUntil);
  this->OwnSample = {.At = Covered->At,
                     .CoversUntil = Covered->CoversUntil,
                     .Witnesses = this->Lead.witnessesNeeded()};
}

// Each instance can hold a connection to each target unless there are fewer of them than instances.
bool ServiceRouter::sharesSamples() const {
  bool Scarce = this->Limits.MaxConnections > 0 && this->Instances > this->Limits.MaxConnections;
  Instant ShortUntil = this->LastShortBound + placement::BoundedReadWindow;
  return Scarce && this->InLoop.now() > ShortUntil;
}

placement::SampleTimes ServiceRouter::sampleTimes() const {
  return {.Newest = this->Positions.newestSampleTime(),
          .NewestOwn = this->OwnSample ? this->OwnSample->CoversUntil : absl::InfinitePast(),
          .Sent = this->SampleSentAt,
          .BoundedRead = this->LastBoundedRead,
          .Asked = this->SampleAsked};
}

// The position is no evidence for a read at the primary, which needs a proof of its own.
bool ServiceRouter::onSharedSample(const placement::SharedSample &Sample) {
  Term Newest = std::max(this->NewestTerm, this->Lead.newestTerm());
  if (!placement::usable(Sample, Newest, this->Lead.witnessesNeeded()))
    return false;
  this->Positions.addSample(Sample.At, Sample.CoversUntil);
  this->dispatch();
  return true;
}

} // namespace toucan::gateway
