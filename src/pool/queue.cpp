#include "pool/queue.h"

#include <algorithm>
#include <cassert>

namespace toucan::pool {

void FairQueue::push(DispatchRequest R) {
  std::deque<DispatchRequest> &Requests = this->ByKey[R.FairnessKey];
  if (Requests.empty())
    this->KeyOrder.push_back(R.FairnessKey);
  this->KeyById[R.Id] = R.FairnessKey;
  Requests.push_back(std::move(R));
}

void FairQueue::pushFront(DispatchRequest R) {
  std::deque<DispatchRequest> &Requests = this->ByKey[R.FairnessKey];
  if (!Requests.empty())
    this->KeyOrder.erase(std::find(this->KeyOrder.begin(), this->KeyOrder.end(), R.FairnessKey));
  this->KeyOrder.push_front(R.FairnessKey);
  this->KeyById[R.Id] = R.FairnessKey;
  Requests.push_front(std::move(R));
}

std::optional<DispatchRequest> FairQueue::take(const Predicate &Accept, size_t MaxKeys) {
  size_t Keys = std::min(MaxKeys, this->KeyOrder.size());
  for (size_t I = 0; I < Keys; ++I) {
    std::string Key = this->KeyOrder[I];
    std::deque<DispatchRequest> &Requests = this->ByKey[Key];
    assert(!Requests.empty());
    if (!Accept(Requests.front()))
      continue;
    DispatchRequest Out = std::move(Requests.front());
    Requests.pop_front();
    this->KeyById.erase(Out.Id);
    this->KeyOrder.erase(this->KeyOrder.begin() + static_cast<ptrdiff_t>(I));
    if (Requests.empty())
      this->ByKey.erase(Key);
    else
      this->KeyOrder.push_back(std::move(Key));
    return Out;
  }
  return std::nullopt;
}

std::optional<DispatchRequest> FairQueue::remove(PoolRequestId Id) {
  auto It = this->KeyById.find(Id);
  if (It == this->KeyById.end())
    return std::nullopt;
  std::string Key = std::move(It->second);
  this->KeyById.erase(It);
  std::deque<DispatchRequest> &Requests = this->ByKey[Key];
  auto At = std::find_if(Requests.begin(), Requests.end(),
                         [&](const DispatchRequest &R) { return R.Id == Id; });
  assert(At != Requests.end());
  DispatchRequest Out = std::move(*At);
  Requests.erase(At);
  if (Requests.empty()) {
    this->ByKey.erase(Key);
    this->KeyOrder.erase(std::find(this->KeyOrder.begin(), this->KeyOrder.end(), Key));
  }
  return Out;
}

Instant FairQueue::headArrived() const {
  if (this->KeyOrder.empty())
    return absl::InfiniteFuture();
  return this->ByKey.find(this->KeyOrder.front())->second.front().Arrived;
}

} // namespace toucan::pool
