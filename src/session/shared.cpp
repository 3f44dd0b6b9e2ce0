#include "session/shared.h"

namespace toucan::session {

// A suspect member counts as reachable, because it may still refute the suspicion.
bool SharedState::reachable(const InstanceId &Id) const {
  const member::Member *M = this->View ? this->View->findMember(Id) : nullptr;
  return M && (M->Status == member::State::Alive || M->Status == member::State::Suspect);
}

// Only hints of the owner are accepted: two instances that name each other would create a
// forwarding loop.
bool SharedState::recordObserver(const DatabaseName &Database, const InstanceId &From,
                                 const ObserverHint &Hint, Instant Now) {
  if (!this->reachable(Hint.Id) || Hint.Id == From || Hint.Until <= Now ||
      this->View->ownerOf(Database) != From)
    return false;
  this->Observers[Database] = Hint;
  return true;
}

std::optional<InstanceId> SharedState::observerOf(const DatabaseName &Database, Instant Now) {
  auto It = this->Observers.find(Database);
  if (It == this->Observers.end())
    return std::nullopt;
  if (Now < It->second.Until && this->reachable(It->second.Id))
    return It->second.Id;
  this->Observers.erase(It);
  return std::nullopt;
}

void SharedState::removeObserver(const InstanceId &Id) {
  std::erase_if(this->Observers, [&](const auto &One) { return One.second.Id == Id; });
}

} // namespace toucan::session
