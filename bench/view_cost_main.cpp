// toucan-view-cost: measures the processor time of one change of the membership view, by default at
// the system size that is expected in two years.
#include "base/settings.h"
#include "member/member.h"

#include "absl/strings/str_format.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <random>
#include <string>
#include <vector>

using namespace toucan;
using namespace toucan::member;

namespace {

constexpr std::string_view Usage =
    R"(toucan-view-cost: processor time of one change of the membership view.

Usage:
  toucan-view-cost [options]
  toucan-view-cost --help

Prints one line of key=value pairs for each way and event, with the median and the highest processor
time until the view is built and the owner of each database is known.
way=full copies the groups and computes every owner again; way=incremental is what the daemon does.
event=start is the first view, event=rules a new version of the rules that changes no target, and
event=none a view without any change.
Exit codes: 0 the run ended, 2 invalid setting.
)";

constexpr Setting Table[] = {
    {.Name = "members",
     .Kind = SettingKind::Integer,
     .Default = "2600",
     .Min = 2,
     .Max = 100000,
     .Help = "Members of the view."},
    {.Name = "groups",
     .Kind = SettingKind::Integer,
     .Default = "17000",
     .Min = 1,
     .Max = 1000000,
     .Help = "Database groups of the view, with three servers each."},
    {.Name = "runs",
     .Kind = SettingKind::Integer,
     .Default = "3",
     .Min = 1,
     .Max = 100000,
     .Help = "Measured changes for each event with way=full."},
    {.Name = "incremental-runs",
     .Kind = SettingKind::Integer,
     .Default = "100",
     .Min = 1,
     .Max = 100000,
     .Help = "Measured changes for each event with way=incremental."},
};

constexpr int DataCentreCount = 29;
constexpr int RegionCount = 11;
constexpr int ServersPerGroup = 3;
constexpr uint64_t Seed = 1;

absl::Duration cpuTime() {
  timespec Now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Now);
  return absl::DurationFromTimespec(Now);
}

Place placeOf(uint64_t Dc) {
  return {DataCentre(absl::StrFormat("dc-%d", Dc)),
          Region(absl::StrFormat("region-%d", Dc % RegionCount))};
}

std::vector<Member> makeMembers(int64_t Count) {
  std::vector<Member> Out;
  for (int64_t I = 0; I < Count; ++I)
    Out.push_back({.Id = InstanceId(absl::StrFormat("proxy-%d", I)),
                   .LinkEndpoint = absl::StrFormat("10.0.%d.%d:6000", I / 256, I % 256),
                   .At = placeOf(static_cast<uint64_t>(I) % DataCentreCount),
                   .Incarnation = 1});
  return Out;
}

std::vector<Group> makeGroups(int64_t Count) {
  std::mt19937_64 Random(Seed);
  std::vector<Group> Out;
  for (int64_t I = 0; I < Count; ++I) {
    Group G{.Name = DatabaseName(absl::StrFormat("database-%d", I)),
            .SlotsPerTarget = 2,
            .ConnectionsPerTarget = 30};
    for (int S = 0; S < ServersPerGroup; ++S)
      G.Targets.push_back({.Id = TargetId(absl::StrFormat("database-%d-%d", I, S)),
                           .Host = "10.1.0.1",
                           .Port = 5432,
                           .At = placeOf(Random() % DataCentreCount)});
    Out.push_back(std::move(G));
  }
  return Out;
}

// Builds the view and computes all owners from scratch, as a baseline for the incremental builder.
// Returns the number of databases that the first member owns.
size_t buildFull(const std::vector<Member> &Members, const std::vector<Group> &Groups,
                 const std::shared_ptr<const rules::RuleSet> &Rules) {
  View V;
  V.Members = Members;
  std::vector<Group> Copy = Groups;
  for (Group &G : Copy)
    for (Target &T : G.Targets)
      T.Status = Rules->targetState(G.Name, T.Id);
  V.Groups = std::move(Copy);
  V.Rules = Rules;
  size_t Owned = 0;
  for (const Group &G : Groups)
    Owned += V.ownerOf(G.Name) == Members[0].Id ? 1 : 0;
  return Owned;
}

// A change of the status of one member.
struct StatusChange {
  const char *Name;
  State Before;
  State After;
};

constexpr StatusChange StatusChanges[] = {{"dies", State::Alive, State::Dead},
                                          {"comes", State::Joining, State::Alive},
                                          {"suspect", State::Alive, State::Suspect},
                                          {"back", State::Suspect, State::Alive}};

void printResult(const char *Way, const char *Name, std::vector<absl::Duration> Times,
                 size_t Owned) {
  std::sort(Times.begin(), Times.end());
  std::printf("way=%s event=%s runs=%zu median_ms=%.3f highest_ms=%.3f owned=%zu\n", Way, Name,
              Times.size(), absl::ToDoubleMilliseconds(Times[Times.size() / 2]),
              absl::ToDoubleMilliseconds(Times.back()), Owned);
  std::fflush(stdout);
}

void measureFull(const SettingValues &V, const std::vector<Group> &Groups) {
  auto Rules = std::make_shared<const rules::RuleSet>();
  for (const StatusChange &E : StatusChanges) {
    std::vector<Member> Members = makeMembers(V.integer("members"));
    std::vector<absl::Duration> Times;
    size_t Owned = 0;
    for (int64_t I = 0; I < V.integer("runs"); ++I) {
      Member &Changed = Members[static_cast<size_t>(I + 1) % Members.size()];
      Changed.Status = E.After;
      absl::Duration Start = cpuTime();
      Owned = buildFull(Members, Groups, Rules);
      Times.push_back(cpuTime() - Start);
      Changed.Status = State::Alive;
    }
    printResult("full", E.Name, std::move(Times), Owned);
  }
}

// Builds the view and queries the owner of every database. Returns the number of databases that the
// first member owns.
size_t buildIncremental(ViewBuilder &Builder, const std::vector<Member> &Members) {
  ViewPtr View = Builder.build(Members, true);
  size_t Owned = 0;
  for (const Group &G : View->Groups)
    Owned += View->ownerOf(G.Name) == Members[0].Id ? 1 : 0;
  return Owned;
}

void measureIncremental(const SettingValues &V, const std::vector<Group> &Groups) {
  std::vector<Member> Members = makeMembers(V.integer("members"));
  ViewBuilder Builder(Members[0].Id, Members[0].At);
  auto Measure = [&](std::vector<absl::Duration> &Times, const auto &Change) {
    absl::Duration Start = cpuTime();
    Change();
    size_t Owned = buildIncremental(Builder, Members);
    Times.push_back(cpuTime() - Start);
    return Owned;
  };
  auto NoChange = [] {};
  std::vector<absl::Duration> Times;
  std::vector<Group> GroupList = Groups;
  size_t Owned = Measure(Times, [&] { Builder.setGroups(std::move(GroupList)); });
  printResult("incremental", "start", std::move(Times), Owned);
  for (const StatusChange &E : StatusChanges) {
    Times.clear();
    for (int64_t I = 0; I < V.integer("incremental-runs"); ++I) {
      Member &Changed = Members[static_cast<size_t>(I + 1) % Members.size()];
      Changed.Status = E.Before;
      Builder.build(Members, true);
      Changed.Status = E.After;
      Owned = Measure(Times, NoChange);
      Changed.Status = State::Alive;
      Builder.build(Members, true);
    }
    printResult("incremental", E.Name, std::move(Times), Owned);
  }
  Times.clear();
  for (int64_t I = 0; I < V.integer("incremental-runs"); ++I)
    Owned = Measure(Times, [&] {
      Builder.setRules(std::make_shared<const rules::RuleSet>(), RulesVersion(I + 1));
    });
  printResult("incremental", "rules", std::move(Times), Owned);
  Times.clear();
  for (int64_t I = 0; I < V.integer("incremental-runs"); ++I)
    Owned = Measure(Times, NoChange);
  printResult("incremental", "none", std::move(Times), Owned);
}

void run(const SettingValues &V) {
  std::vector<Group> Groups = makeGroups(V.integer("groups"));
  measureIncremental(V, Groups);
  measureFull(V, Groups);
}

} // namespace

int main(int Argc, char **Argv) {
  std::vector<std::string> Args(Argv + 1, Argv + Argc);
  auto Line = capture([&] { return parseCommandLine(Usage, Table, "TOUCANVIEW_", "0.1.0", Args); });
  if (!Line) {
    std::fprintf(stderr, "toucan-view-cost: %s\n", Line.Problem.Message.c_str());
    return 2;
  }
  if (Line->Print) {
    std::fputs(Line->Print->c_str(), stdout);
    return 0;
  }
  run(Line->Settings);
  return 0;
}
