// Operators' rules: a text file, one rule a line, with a comment that names who asked for it.
#ifndef TOUCAN_RULES_RULES_H
#define TOUCAN_RULES_RULES_H

#include "base/error.h"
#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucan::rules {

enum class WorkClass : uint8_t { Short, Long };
enum class TargetState : uint8_t { Active, Joining, Leaving };

// What is known of a request when rules are looked up.
struct RequestFacts {
  DatabaseName Database;
  std::vector<std::string> Tables; // all tables of the statement, lower case, without schema
  uint64_t Fingerprint = 0;
};

// What the rules say of a request.
struct Policy {
  // Oldest replica state that may serve the read; zero: the primary only. A read of several tables
  // gets the smallest value of its tables, and zero if a table has no rule.
  absl::Duration MaxAge = absl::ZeroDuration();
  bool Once = false; // may not be repeated
  WorkClass Class = WorkClass::Short;
};

// An immutable set of rules. Thread-safe.
class RuleSet {
public:
  // Checks a rules file; the error is "FILE:LINE:COLUMN: cause".
  static Result<RuleSet> parse(std::string_view Text, std::string_view FileName);

  Policy policyFor(const RequestFacts &Facts) const;
  TargetState targetState(const DatabaseName &Database, const TargetId &Target) const;
  // The text as given to parse().
  const std::string &text() const { return this->Text; }

private:
  struct ReadRule {
    std::string Database, Table;
    std::optional<uint64_t> Fingerprint;
    absl::Duration MaxAge;
  };
  struct OnceRule {
    std::string Database, Table;
    std::optional<uint64_t> Fingerprint;
  };
  struct ClassRule {
    std::string Database, Table;
    std::optional<uint64_t> Fingerprint;
    WorkClass Class = WorkClass::Short;
  };
  struct TargetRule {
    std::string Database, Target;
    TargetState State = TargetState::Active;
  };

  std::string Text;
  std::vector<ReadRule> Reads;
  std::vector<OnceRule> Onces;
  std::vector<ClassRule> Classes;
  std::vector<TargetRule> Targets;
};

// Lines that differ, each with its line number in its own file: "-4: ..." and "+5: ...".
// Comments and blanks count, since a comment names who asked for a rule.
std::string diff(std::string_view Old, std::string_view New);

std::string_view targetStateName(TargetState S);
std::string_view workClassName(WorkClass C);

} // namespace toucan::rules

#endif // TOUCAN_RULES_RULES_H
