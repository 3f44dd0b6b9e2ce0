#include "workload.h"

#include "process.h"

#include "absl/strings/str_format.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>

namespace toucan::test {

namespace {

constexpr uint64_t IdsOfWriter = 1'000'000'000;
constexpr std::chrono::milliseconds RetryPause{20};

} // namespace

Workload::Workload(std::vector<ClientOptions> At, int Writers) : Places(std::move(At)) {
  this->Threads.reserve(static_cast<size_t>(Writers));
  for (size_t W = 0; W < static_cast<size_t>(Writers); ++W)
    this->Threads.emplace_back([this, W] { this->write(W); });
}

Workload::~Workload() { this->stop(); }

void Workload::stop() {
  this->Stopping = true;
  for (std::thread &T : this->Threads)
    T.join();
  this->Threads.clear();
}

void Workload::write(size_t Writer) {
  uint64_t Next = Writer * IdsOfWriter + 1;
  for (size_t Place = Writer; !this->Stopping; ++Place) {
    Client C(this->Places[Place % this->Places.size()]);
    while (C.connected() && !this->Stopping) {
      Answer A = C.run(absl::StrFormat("insert into written values (%d)", Next));
      this->note(Next, A);
      if (!A.notRun())
        ++Next;
      if (A.State == "57P01")
        break;
      if (!A.ok())
        std::this_thread::sleep_for(RetryPause);
    }
    std::this_thread::sleep_for(RetryPause);
  }
}

void Workload::note(uint64_t Id, const Answer &A) {
  std::lock_guard Lock(this->Mutex);
  this->noteService(this->ServiceOf[Id / IdsOfWriter], Clock::now(), A.ok());
  if (A.ok()) {
    this->Outcomes[Id] = Outcome::Acknowledged;
    ++this->AcknowledgedCount;
    return;
  }
  this->Outcomes[Id] = A.notRun() ? Outcome::NotRun : Outcome::Unknown;
  ++this->Problems[A.State + " " + A.Message];
}

void Workload::noteService(Service &S, Clock::time_point Now, bool Acknowledged) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  auto Since = [&](Clock::time_point Start) { return duration_cast<milliseconds>(Now - Start); };
  this->Worst.Unserved = std::max(this->Worst.Unserved, Since(S.Acknowledged));
  if (!S.FirstError && !Acknowledged)
    S.FirstError = Now;
  if (S.FirstError)
    this->Worst.Failing = std::max(this->Worst.Failing, Since(*S.FirstError));
  if (Acknowledged)
    S = Service{.Acknowledged = Now, .FirstError = std::nullopt};
}

void Workload::watchGaps() {
  std::lock_guard Lock(this->Mutex);
  this->ServiceOf.clear();
  this->Worst = Gaps{};
}

Workload::Gaps Workload::gaps() const {
  std::lock_guard Lock(this->Mutex);
  return this->Worst;
}

bool Workload::waitAcknowledged(uint64_t More) const {
  uint64_t Goal = this->AcknowledgedCount + More;
  return eventually([&] { return this->AcknowledgedCount >= Goal; });
}

std::string Workload::faultsIn(const Answer &Rows) const {
  if (!Rows.ok())
    return "the rows cannot be read: " + Rows.State + " " + Rows.Message;
  std::map<uint64_t, int> Counts;
  for (const std::vector<std::string> &Row : Rows.Rows)
    ++Counts[std::strtoull(Row[0].c_str(), nullptr, 10)];
  std::string Out;
  for (const auto &[Id, Count] : Counts) {
    if (Count > 1)
      Out += absl::StrFormat("id %d is there %d times\n", Id, Count);
    if (this->Outcomes.count(Id) == 0)
      Out += absl::StrFormat("id %d was never sent\n", Id);
  }
  for (const auto &[Id, Result] : this->Outcomes) {
    if (Result == Outcome::Acknowledged && Counts.count(Id) == 0)
      Out += absl::StrFormat("acknowledged id %d is lost\n", Id);
    if (Result == Outcome::NotRun && Counts.count(Id) != 0)
      Out += absl::StrFormat("id %d is there, but its answer said not run\n", Id);
  }
  return Out;
}

uint64_t Workload::unknown() const {
  std::lock_guard Lock(this->Mutex);
  return static_cast<uint64_t>(
      std::count_if(this->Outcomes.begin(), this->Outcomes.end(),
                    [](const auto &One) { return One.second == Outcome::Unknown; }));
}

std::string Workload::summary() const {
  std::lock_guard Lock(this->Mutex);
  std::string Out = absl::StrFormat("%d acknowledged\n", this->AcknowledgedCount.load());
  for (const auto &[Text, Count] : this->Problems)
    Out += absl::StrFormat("%d times %s\n", Count, Text);
  return Out;
}

} // namespace toucan::test
