#include "rules/rules.h"

#include <algorithm>

namespace toucan::rules {

// Returns the value of the rule for the fingerprint. Without such a rule, returns the smallest
// value of all tables, or zero if one of them has no rule. A statement without tables gets zero,
// since a rule for tables cannot apply to it.
absl::Duration RuleSet::maxAge(const DatabaseRules &Rules, const RequestFacts &Facts) {
  auto Exact = Rules.MaxAges.ByFingerprint.find(Facts.Fingerprint);
  if (Exact != Rules.MaxAges.ByFingerprint.end())
    return Exact->second;
  if (Facts.Tables.empty())
    return absl::ZeroDuration();
  absl::Duration Smallest = absl::InfiniteDuration();
  for (const std::string &Table : Facts.Tables) {
    auto It = Rules.MaxAges.ByTable.find(Table);
    if (It == Rules.MaxAges.ByTable.end())
      return absl::ZeroDuration();
    Smallest = std::min(Smallest, It->second);
  }
  return Smallest;
}

// True if a once rule matches the fingerprint or one of the tables.
bool RuleSet::runsAtMostOnce(const DatabaseRules &Rules, const RequestFacts &Facts) {
  return anyMatches(Rules.AtMostOnce, Facts);
}

// Returns the class in the rule for the fingerprint. Without such a rule, returns Long if the rule
// for one of the tables says long.
WorkClass RuleSet::workClassOf(const DatabaseRules &Rules, const RequestFacts &Facts) {
  auto Exact = Rules.WorkClasses.ByFingerprint.find(Facts.Fingerprint);
  if (Exact != Rules.WorkClasses.ByFingerprint.end())
    return Exact->second;
  for (const std::string &Table : Facts.Tables) {
    auto It = Rules.WorkClasses.ByTable.find(Table);
    if (It != Rules.WorkClasses.ByTable.end() && It->second == WorkClass::Long)
      return WorkClass::Long;
  }
  return WorkClass::Short;
}

Policy RuleSet::policyFor(const RequestFacts &Facts) const {
  auto It = this->Databases.find(Facts.Database.Value);
  if (It == this->Databases.end())
    return {};
  return {.MaxAge = maxAge(It->second, Facts),
          .RunsAtMostOnce = runsAtMostOnce(It->second, Facts),
          .Class = workClassOf(It->second, Facts),
          .HasClassRule = anyMatches(It->second.WorkClasses, Facts)};
}

TargetState RuleSet::targetState(const DatabaseName &Database, const TargetId &Target) const {
  auto It = this->Databases.find(Database.Value);
  if (It == this->Databases.end())
    return TargetState::Active;
  auto Found = It->second.TargetStates.find(Target.Value);
  return Found == It->second.TargetStates.end() ? TargetState::Active : Found->second;
}

std::string_view targetStateName(TargetState S) {
  switch (S) {
  case TargetState::Active:
    return "active";
  case TargetState::Joining:
    return "joining";
  case TargetState::Leaving:
    return "leaving";
  }
  return "unknown";
}

std::string_view workClassName(WorkClass C) { return C == WorkClass::Long ? "long" : "short"; }

} // namespace toucan::rules
