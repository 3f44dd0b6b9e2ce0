// Routing rules written by operators. A rules file is text with one rule per line. Each rule ends
// with a comment that names who asked for it.
#ifndef TOUCAN_RULES_RULES_H
#define TOUCAN_RULES_RULES_H

#include "base/error.h"
#include "base/ids.h"

#include "absl/container/flat_hash_map.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace toucan::rules {

enum class WorkClass : uint8_t { Short, Long };
enum class TargetState : uint8_t { Active, Joining, Leaving };

// The properties of a request that rules are matched against.
struct RequestFacts {
  DatabaseName Database;
  std::vector<std::string> Tables; // all tables of the statement, lower case, without schema
  uint64_t Fingerprint = 0;        // of the statement; 0: none
};

// The decisions of the rules for one request.
struct Policy {
  // Maximum age of the replica state that may serve the read. Zero: only the primary may serve it.
  // A rule for the fingerprint takes precedence over rules for tables. A read of several tables
  // gets the smallest value of its tables, and zero if one of its tables has no rule.
  absl::Duration MaxAge = absl::ZeroDuration();
  // The request must not be retried: a once rule matches the fingerprint or one of the tables.
  bool RunsAtMostOnce = false;
  // The class in the rule for the fingerprint. Without such a rule, Long if the rule for one of the
  // tables says long.
  WorkClass Class = WorkClass::Short;
  bool HasClassRule = false; // a class rule matches the fingerprint or one of the tables
};

// An immutable set of rules. Thread-safe.
class RuleSet {
public:
  // Parses and checks a rules file. The error is "FILE:LINE:COLUMN: cause".
  static Result<RuleSet> parse(std::string_view Text, std::string_view FileName);

  Policy policyFor(const RequestFacts &Facts) const;
  TargetState targetState(const DatabaseName &Database, const TargetId &Target) const;
  // The text that was passed to parse().
  const std::string &text() const { return this->Text; }

private:
  friend class Parser;

  // Rules of one kind in one database. A rule for a fingerprint takes precedence over rules for
  // tables.
  template <class T> struct WithSelector {
    absl::flat_hash_map<std::string, T> ByTable;
    absl::flat_hash_map<uint64_t, T> ByFingerprint;
  };
  struct DatabaseRules {
    WithSelector<absl::Duration> MaxAges;
    WithSelector<bool> AtMostOnce;
    WithSelector<WorkClass> WorkClasses;
    absl::flat_hash_map<std::string, TargetState> TargetStates;
  };

  static absl::Duration maxAge(const DatabaseRules &Rules, const RequestFacts &Facts);
  static bool runsAtMostOnce(const DatabaseRules &Rules, const RequestFacts &Facts);
  static WorkClass workClassOf(const DatabaseRules &Rules, const RequestFacts &Facts);
  template <class T>
  static bool anyMatches(const WithSelector<T> &Rules, const RequestFacts &Facts) {
    return Rules.ByFingerprint.contains(Facts.Fingerprint) ||
           std::any_of(Facts.Tables.begin(), Facts.Tables.end(),
                       [&](const std::string &Table) { return Rules.ByTable.contains(Table); });
  }

  std::string Text;
  absl::flat_hash_map<std::string, DatabaseRules> Databases;
};

// Returns the removed and added lines with their line numbers in Old and New: "-4: ..." and
// "+5: ...". Differences in comments and blanks are included, since a comment names who asked for a
// rule.
std::string diff(std::string_view Old, std::string_view New);

std::string_view targetStateName(TargetState S);
std::string_view workClassName(WorkClass C);

} // namespace toucan::rules

#endif // TOUCAN_RULES_RULES_H
