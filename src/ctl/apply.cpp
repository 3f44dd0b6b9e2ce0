#include "ctl/apply.h"

#include "ctl/ctl.h"
#include "member/view.h"
#include "rules/rules.h"

#include "absl/strings/str_format.h"

#include <algorithm>

namespace toucan::ctl {

namespace {

std::string_view resultName(ApplyResult R) {
  switch (R) {
  case ApplyResult::InForce:
    return "in_force";
  case ApplyResult::NotConfirmed:
    return "not_confirmed";
  case ApplyResult::Conflict:
    return "conflict";
  case ApplyResult::NotWritten:
    return "not_written";
  case ApplyResult::WriteUnknown:
    return "write_unknown";
  }
  return "unknown";
}

std::string conflictText(const ApplyReport &R) {
  std::string Out =
      absl::StrFormat("refused: version %d is in force, not the base version %d; nothing was "
                      "written\n",
                      R.Version, R.Base);
  if (R.BaseText)
    absl::StrAppendFormat(&Out, "changes from version %d to version %d:\n%s", R.Base, R.Version,
                          rules::diff(*R.BaseText, R.InForceText));
  else
    absl::StrAppendFormat(&Out,
                          "the text of version %d is not stored; difference from version %d to the "
                          "file:\n%s",
                          R.Base, R.Version, R.Difference);
  return Out;
}

std::string notConfirmedText(const ApplyReport &R) {
  if (R.LiveCount == 0)
    return absl::StrFormat("version %d is written, but not confirmed: %s\n", R.Version,
                           R.Detail.empty() ? "no live instance is listed" : R.Detail);
  std::vector<std::vector<Cell>> Rows;
  for (const UnconfirmedInstance &U : R.Unconfirmed)
    Rows.push_back({U.Id.Value, U.Cause});
  return absl::StrFormat("version %d is written, but not confirmed by %d of %d live instances:\n%s",
                         R.Version, R.Unconfirmed.size(), R.LiveCount,
                         alignedText({{"INSTANCE", ""}, {"CAUSE", ""}}, Rows));
}

} // namespace

ReadBackResult classifyReadBack(uint64_t Base, std::string_view Text, const platform::Row &Found) {
  if (Found.Version <= Base)
    return ReadBackResult::BaseInForce;
  if (Found.Value == Text)
    return ReadBackResult::TextInForce;
  return Found.Version == Base + 1 ? ReadBackResult::Conflict : ReadBackResult::LaterVersion;
}

void Confirmation::beginRound() {
  this->AnswersInRound = 0;
  for (auto &[Id, I] : this->Instances)
    I.Reported = false;
}

void Confirmation::setListed(const std::vector<Peer> &Live) {
  std::map<InstanceId, Instance> Old = std::move(this->Instances);
  this->Instances.clear();
  for (const Peer &P : Live) {
    auto It = Old.find(P.Id);
    Instance &I = this->Instances[P.Id];
    if (It != Old.end())
      I = It->second;
    I.LinkEndpoint = P.LinkEndpoint;
    I.Listed = true;
  }
  for (const auto &[Id, I] : Old)
    if (!I.Listed)
      this->Instances.emplace(Id, I);
}

// An unlisted instance must confirm only while another instance reports it as alive, so instances
// that have confirmed are queried again while one is unconfirmed.
bool Confirmation::mustQueryAll() const {
  return std::any_of(this->Instances.begin(), this->Instances.end(),
                     [](const auto &I) { return !I.second.Listed && !I.second.Confirmed; });
}

std::vector<Peer> Confirmation::peersToQuery() const {
  bool IncludeConfirmed = this->mustQueryAll();
  std::vector<Peer> Out;
  for (const auto &[Id, I] : this->Instances)
    if (IncludeConfirmed || !I.Confirmed)
      Out.push_back({.Id = Id, .LinkEndpoint = I.LinkEndpoint});
  return Out;
}

void Confirmation::recordAnswer(const Answer &A) {
  auto It = this->Instances.find(A.Id);
  if (It == this->Instances.end())
    return;
  if (!A.Message) {
    It->second.Cause = A.Problem;
    return;
  }
  ++this->AnswersInRound;
  const proto::StatusReply &Reply = A.Message->status_reply();
  It->second.Confirmed = It->second.Confirmed || Reply.self().rules_version() >= this->Version;
  It->second.Cause = absl::StrFormat("has version %d", Reply.self().rules_version());
  for (const proto::MemberRecord &M : Reply.members()) {
    InstanceId Id(M.instance());
    if (M.state() != static_cast<uint32_t>(member::State::Alive) || Id == A.Id)
      continue;
    Instance Unlisted{.LinkEndpoint = M.link_endpoint(), .Listed = false};
    this->Instances.try_emplace(Id, Unlisted).first->second.Reported = true;
  }
}

void Confirmation::endRound() {
  if (this->AnswersInRound == 0)
    return;
  std::erase_if(this->Instances, [](const auto &I) {
    return !I.second.Listed && !I.second.Reported && !I.second.Confirmed;
  });
}

bool Confirmation::complete() const {
  return !this->Instances.empty() && this->unconfirmed().empty();
}

std::vector<UnconfirmedInstance> Confirmation::unconfirmed() const {
  std::vector<UnconfirmedInstance> Out;
  for (const auto &[Id, I] : this->Instances)
    if (!I.Confirmed)
      Out.push_back({.Id = Id, .Cause = I.Cause});
  return Out;
}

int applyExitCode(const ApplyReport &R) {
  if (R.Result == ApplyResult::InForce)
    return ExitDone;
  return R.Unreachable ? ExitUnreachable : ExitRefused;
}

std::string applyText(const ApplyReport &R) {
  switch (R.Result) {
  case ApplyResult::InForce:
    return absl::StrFormat("version %d is in force: confirmed by all %d live instances\n",
                           R.Version, R.LiveCount);
  case ApplyResult::NotConfirmed:
    return notConfirmedText(R);
  case ApplyResult::Conflict:
    return conflictText(R);
  case ApplyResult::NotWritten:
    return absl::StrFormat("nothing was written: %s\n", R.Detail);
  case ApplyResult::WriteUnknown:
    return absl::StrFormat("the change was sent, but it is not known whether it was written: %s\n"
                           "check with \"toucanctl rules diff\" before another attempt\n",
                           R.Detail);
  }
  return "";
}

Json applyJson(const ApplyReport &R) {
  Json Out{{"result", resultName(R.Result)}, {"base", R.Base},      {"version", R.Version},
           {"difference", R.Difference},     {"live", R.LiveCount}, {"unconfirmed", Json::array()}};
  for (const UnconfirmedInstance &U : R.Unconfirmed)
    Out["unconfirmed"].push_back({{"instance", U.Id.Value}, {"cause", U.Cause}});
  if (R.Result == ApplyResult::Conflict && R.BaseText)
    Out["changed_since_base"] = rules::diff(*R.BaseText, R.InForceText);
  if (!R.Detail.empty())
    Out["detail"] = R.Detail;
  return Out;
}

} // namespace toucan::ctl
