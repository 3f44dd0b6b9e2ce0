// Commands that send requests to instances: status, targets, sessions, drain.
#include "ctl/commands.h"
#include "ctl/ctl.h"
#include "member/view.h"

#include "absl/strings/str_format.h"

#include <algorithm>
#include <map>

namespace toucan::ctl {

namespace {

using Rows = std::vector<std::vector<Cell>>;

// The instances in the platform's list and, at the same index, their answers.
struct QueryResult {
  std::vector<platform::InstanceRow> Instances;
  std::vector<Answer> Answers;
};

// Sends a request to all instances in the platform's list, sorted by name.
Result<QueryResult> queryInstances(Context &C, const proto::Envelope &Request,
                                   proto::Envelope::BodyCase Expected) {
  BOOST_LEAF_AUTO(Instances, C.Platform.instances());
  QueryResult Out{.Instances = std::move(Instances), .Answers = {}};
  std::sort(Out.Instances.begin(), Out.Instances.end(),
            [](const auto &A, const auto &B) { return A.Id < B.Id; });
  std::vector<Peer> Peers;
  for (const platform::InstanceRow &Row : Out.Instances)
    Peers.push_back(peerOf(Row));
  Out.Answers = queryAll(Peers, Request, Expected, monotonicNow() + C.Timeout);
  return Out;
}

// Reports on Err which instances did not answer, and returns the exit code. A leaving instance may
// have stopped already, so its missing answer does not change the exit code.
int reportMissingAnswers(const Context &C, const QueryResult &S) {
  int Code = ExitDone;
  if (S.Instances.empty())
    return C.reportError(ExitUnreachable, "the platform lists no instance");
  for (size_t I = 0; I < S.Answers.size(); ++I) {
    if (S.Answers[I].Message)
      continue;
    std::string_view Note = S.Instances[I].Leaving ? " (leaving)" : "";
    C.reportError(
        0, absl::StrFormat("instance %s%s: %s", S.Answers[I].Id.Value, Note, S.Answers[I].Problem));
    if (!S.Instances[I].Leaving)
      Code = ExitUnreachable;
  }
  return Code;
}

std::string_view stateName(uint32_t State) {
  switch (static_cast<member::State>(State)) {
  case member::State::Alive:
    return "ready";
  case member::State::Suspect:
    return "suspect";
  case member::State::Dead:
    return "dead";
  case member::State::Joining:
    return "joining";
  case member::State::Draining:
    return "draining";
  }
  return "unknown";
}

const std::vector<Column> StatusColumns = {
    {"INSTANCE", "instance"}, {"DATA CENTRE", "data_centre"}, {"REGION", "region"},
    {"STATE", "state"},       {"VERSION", "version"},         {"RULES", "rules_version"},
    {"CALLERS", "callers"},   {"UPTIME", "uptime_us"},        {"ALIVE MEMBERS", "alive_members"}};

std::vector<Cell> statusRow(const platform::InstanceRow &Instance, const Answer &A) {
  std::vector<Cell> Row = {Instance.Id.Value, Instance.At.Dc.Value, Instance.At.InRegion.Value};
  if (!A.Message) {
    Row.emplace_back(Instance.Leaving ? "no answer, leaving" : "no answer");
    Row.resize(StatusColumns.size());
    return Row;
  }
  const proto::StatusReply &R = A.Message->status_reply();
  auto Alive = std::count_if(R.members().begin(), R.members().end(), [](const auto &M) {
    return M.state() == static_cast<uint32_t>(member::State::Alive);
  });
  Row.emplace_back(stateName(R.self().state()));
  Row.emplace_back(R.version());
  Row.emplace_back(R.self().rules_version());
  if (!R.rules_known())
    Row.back().Text += " (refuses new work)";
  Row.emplace_back(R.callers());
  Row.push_back(Cell::duration(R.uptime_us()));
  Row.emplace_back(static_cast<uint64_t>(Alive));
  return Row;
}

// Returns the sum of each counter over all instances that answered, without sums of zero.
Rows counterRows(const QueryResult &S) {
  std::map<std::string, uint64_t> Sums;
  for (const Answer &A : S.Answers)
    if (A.Message)
      for (const proto::Counter &C : A.Message->status_reply().counters())
        Sums[C.name()] += C.value();
  Rows Out;
  for (const auto &[Name, Sum] : Sums)
    if (Sum > 0)
      Out.push_back({Name, Sum});
  return Out;
}

const std::vector<Column> TargetColumns = {
    {"DATABASE", "database"},   {"TARGET", "target"},
    {"ADDRESS", "address"},     {"STATE", "state"},
    {"ROLE", "role"},           {"TERM", "term"},
    {"RECEIVED", "received"},   {"APPLIED", "applied"},
    {"AGE", "age_us"},          {"CONNECTIONS", "connections"},
    {"EXECUTING", "executing"}, {"QUEUED", "queued"},
    {"OWNER", "owner"}};

std::vector<Cell> targetRow(const proto::TargetStatus &T) {
  return {T.database(),    T.target(),    T.address(),
          T.state(),       T.role(),      T.term(),
          T.received(),    T.applied(),   Cell::duration(T.age_us()),
          T.connections(), T.executing(), T.queued(),
          T.owner()};
}

const std::vector<Column> SessionColumns = {{"INSTANCE", "instance"}, {"SESSION", "session"},
                                            {"CALLER", "caller"},     {"DATABASE", "database"},
                                            {"USER", "user"},         {"STATE", "state"},
                                            {"FLOOR", "floor"},       {"REQUESTS", "requests"}};

std::vector<Cell> sessionRow(const InstanceId &Id, const proto::SessionStatus &S) {
  std::string Floor = absl::StrFormat("%d/%d", S.floor().term(), S.floor().position());
  return {Id.Value, S.session_id(), S.caller(), S.database(),
          S.user(), S.state(),      Floor,      S.requests()};
}

void sortRows(Rows &Table) {
  std::sort(Table.begin(), Table.end(), [](const auto &A, const auto &B) {
    return std::tie(A[0].Text, A[1].Text) < std::tie(B[0].Text, B[1].Text);
  });
}

} // namespace

Peer peerOf(const platform::InstanceRow &Row) {
  return {.Id = Row.Id, .LinkEndpoint = Row.LinkEndpoint};
}

int showStatus(Context &C) {
  proto::Envelope Request;
  Request.mutable_status_request();
  auto S = capture([&] { return queryInstances(C, Request, proto::Envelope::kStatusReply); });
  if (!S)
    return C.reportError(ExitUnreachable, S.Problem.Message);
  Rows Table;
  for (size_t I = 0; I < S->Answers.size(); ++I)
    Table.push_back(statusRow(S->Instances[I], S->Answers[I]));
  const std::vector<Column> CounterColumns = {{"COUNTER, ALL INSTANCES", "name"},
                                              {"VALUE", "value"}};
  Rows Counters = counterRows(*S);
  std::string Text = alignedText(StatusColumns, Table);
  if (!Counters.empty())
    Text += "\n" + alignedText(CounterColumns, Counters);
  C.print(Text, {{"instances", rowsJson(StatusColumns, Table)},
                 {"counters", rowsJson(CounterColumns, Counters)}});
  return reportMissingAnswers(C, *S);
}

int showTargets(Context &C) {
  proto::Envelope Request;
  Request.mutable_targets_request();
  auto S = capture([&] { return queryInstances(C, Request, proto::Envelope::kTargetsReply); });
  if (!S)
    return C.reportError(ExitUnreachable, S.Problem.Message);
  Rows Table;
  for (const Answer &A : S->Answers)
    if (A.Message)
      for (const proto::TargetStatus &T : A.Message->targets_reply().targets())
        Table.push_back(targetRow(T));
  sortRows(Table);
  C.print(alignedText(TargetColumns, Table), {{"targets", rowsJson(TargetColumns, Table)}});
  return reportMissingAnswers(C, *S);
}

int showSessions(Context &C) {
  proto::Envelope Request;
  Request.mutable_sessions_request();
  auto S = capture([&] { return queryInstances(C, Request, proto::Envelope::kSessionsReply); });
  if (!S)
    return C.reportError(ExitUnreachable, S.Problem.Message);
  Rows Table;
  for (const Answer &A : S->Answers)
    if (A.Message)
      for (const proto::SessionStatus &Session : A.Message->sessions_reply().sessions())
        Table.push_back(sessionRow(A.Id, Session));
  C.print(alignedText(SessionColumns, Table), {{"sessions", rowsJson(SessionColumns, Table)}});
  return reportMissingAnswers(C, *S);
}

int drain(Context &C) {
  InstanceId Id(C.Line.Arguments.at("INSTANCE"));
  auto Instances = capture([&] { return C.Platform.instances(); });
  if (!Instances)
    return C.reportError(ExitUnreachable, Instances.Problem.Message);
  const auto &List = *Instances;
  auto It = std::find_if(List.begin(), List.end(), [&](const auto &Row) { return Row.Id == Id; });
  if (It == List.end())
    return C.reportError(
        ExitUsage, absl::StrFormat("instance \"%s\" is not in the platform's list", Id.Value));
  proto::Envelope Request;
  Request.mutable_drain_request();
  Answer A =
      queryAll({peerOf(*It)}, Request, proto::Envelope::kDrainReply, monotonicNow() + C.Timeout)[0];
  if (!A.Message)
    return C.reportError(
        ExitUnreachable,
        absl::StrFormat("instance %s: %s; it may drain nevertheless", Id.Value, A.Problem));
  const proto::DrainReply &Reply = A.Message->drain_reply();
  std::string Outcome = Reply.accepted() ? "drains" : "refuses to drain";
  std::string Detail = Reply.detail().empty() ? "" : absl::StrFormat(": %s", Reply.detail());
  C.print(absl::StrFormat("instance %s %s%s\n", Id.Value, Outcome, Detail),
          {{"instance", Id.Value}, {"accepted", Reply.accepted()}, {"detail", Reply.detail()}});
  return Reply.accepted() ? ExitDone : ExitRefused;
}

} // namespace toucan::ctl
