#include "pool/queue.h"

#include <algorithm>
#include <cassert>

namespace toucan::pool {

void FairQueue::push(Ticket T) {
  std::deque<Ticket> &Own = this->ByKey[T.FairnessKey];
  if (Own.empty())
    this->Turn.push_back(T.FairnessKey);
  this->KeyOf[T.Id] = T.FairnessKey;
  Own.push_back(std::move(T));
}

void FairQueue::pushFront(Ticket T) {
  std::deque<Ticket> &Own = this->ByKey[T.FairnessKey];
  if (!Own.empty())
    this->Turn.erase(std::find(this->Turn.begin(), this->Turn.end(), T.FairnessKey));
  this->Turn.push_front(T.FairnessKey);
  this->KeyOf[T.Id] = T.FairnessKey;
  Own.push_front(std::move(T));
}

std::optional<Ticket> FairQueue::take(const Accepts &Accept, size_t MaxKeys) {
  size_t Keys = std::min(MaxKeys, this->Turn.size());
  for (size_t I = 0; I < Keys; ++I) {
    std::string Key = this->Turn[I];
    std::deque<Ticket> &Own = this->ByKey[Key];
    assert(!Own.empty());
    if (!Accept(Own.front()))
      continue;
    Ticket Out = std::move(Own.front());
    Own.pop_front();
    this->KeyOf.erase(Out.Id);
    this->Turn.erase(this->Turn.begin() + static_cast<ptrdiff_t>(I));
    if (Own.empty())
      this->ByKey.erase(Key);
    else
      this->Turn.push_back(std::move(Key));
    return Out;
  }
  return std::nullopt;
}

std::optional<Ticket> FairQueue::remove(TicketId Id) {
  auto It = this->KeyOf.find(Id);
  if (It == this->KeyOf.end())
    return std::nullopt;
  std::string Key = std::move(It->second);
  this->KeyOf.erase(It);
  std::deque<Ticket> &Own = this->ByKey[Key];
  auto At = std::find_if(Own.begin(), Own.end(), [&](const Ticket &T) { return T.Id == Id; });
  assert(At != Own.end());
  Ticket Out = std::move(*At);
  Own.erase(At);
  if (Own.empty()) {
    this->ByKey.erase(Key);
    this->Turn.erase(std::find(this->Turn.begin(), this->Turn.end(), Key));
  }
  return Out;
}

Instant FairQueue::headArrived() const {
  if (this->Turn.empty())
    return absl::InfiniteFuture();
  return this->ByKey.find(this->Turn.front())->second.front().Arrived;
}

} // namespace toucan::pool
