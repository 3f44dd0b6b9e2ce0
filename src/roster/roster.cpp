#include "roster/roster.h"

#include "absl/strings/str_cat.h"

namespace toucan::roster {

namespace {

// The listed server that runs at the address of member Id now.
TargetId newestAt(const TargetId &Id, const std::string &Address, const Listing &Listed) {
  TargetId Newest = Id;
  auto Own = Listed.find(Id);
  std::optional<int64_t> Started;
  if (Own != Listed.end())
    Started = Own->second.StartedUnixMs;
  for (const auto &[Other, S] : Listed) {
    if (S.Address != Address || (Started && S.StartedUnixMs <= *Started))
      continue;
    Newest = Other;
    Started = S.StartedUnixMs;
  }
  return Newest;
}

} // namespace

Roster::Roster(uint32_t Size, std::optional<Members> Named)
    : Known(Named.has_value()), Size(Size), Named(std::move(Named).value_or(Members())) {}

std::string describe(const Members &Named) {
  std::string Out;
  for (const auto &[Id, Address] : Named)
    absl::StrAppend(&Out, Out.empty() ? "" : ",", Id.Value);
  return Out;
}

Members atSameAddress(const Members &Named, const Listing &Listed) {
  Members Out;
  for (const auto &[Id, Address] : Named)
    Out[newestAt(Id, Address, Listed)] = Address;
  return Out;
}

// A primary that leaves keeps its place until another server leads. The server that takes it is
// named at once, so that it can be the successor.
Members replaceMembers(const Roster &Present, const Listing &Listed, const Departures &Departed,
                       const TargetId &Primary, uint32_t Copies) {
  auto Leaves = [&Listed](const TargetId &Id) {
    auto It = Listed.find(Id);
    return It != Listed.end() && It->second.Leaving;
  };
  Members Next = Present.named();
  if (auto It = Listed.find(Primary); It != Listed.end())
    Next.emplace(Primary, It->second.Address);
  auto Staying = std::count_if(Next.begin(), Next.end(), [&](const auto &M) {
    return !Departed.contains(M.first) && !(M.first == Primary && Leaves(Primary));
  });
  for (const auto &[Id, S] : Listed)
    if (!S.Leaving && Staying < Present.size() && Next.emplace(Id, S.Address).second)
      ++Staying;
  uint32_t Droppable = std::max<uint32_t>(Copies, 1);
  for (const auto &[Id, Address] : Present.named()) {
    if (Droppable == 0 || Next.size() <= Present.size())
      break;
    if (Id == Primary || !Departed.contains(Id))
      continue;
    Next.erase(Id);
    --Droppable;
  }
  return Next;
}

// The answers must be those of the newest term. A later one needs its primary and Copies replicas
// among the members before a caller is told of a commit. If no more than Copies members were
// dropped or gave no answer, one of the others would have answered with the later term.
bool mayReplace(const Roster &Present, const Members &Next, const GroupStatus &Answers,
                uint32_t Copies) {
  uint32_t Unverified = 0;
  for (const auto &[Id, Address] : Present.named())
    Unverified += Next.contains(Id) ? 0 : 1;
  if (Copies == 0 || (Unverified == 0 && !Present.named().empty()))
    return true;
  if (!Answers.OfPrimary.Primary || !Next.contains(Answers.Primary))
    return false;
  uint32_t Holders = 0;
  for (const auto &[Id, Address] : Next) {
    if (Id == Answers.Primary)
      continue;
    auto It = Answers.OfReplicas.find(Id);
    if (It == Answers.OfReplicas.end()) {
      ++Unverified;
      continue;
    }
    const TargetStatus &S = It->second;
    if (S.Primary || S.CurrentTerm > Answers.OfPrimary.CurrentTerm)
      return false;
    Holders += S.Received >= Answers.OfPrimary.Received ? 1 : 0;
  }
  return Unverified <= Copies && Holders >= Copies;
}

} // namespace toucan::roster
