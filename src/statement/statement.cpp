#include "statement/statement.h"

#include <array>

namespace toucan {

namespace {

struct ErrorRow {
  std::string_view Name;
  Verdict Outcome;
};

constexpr std::array<ErrorRow, static_cast<size_t>(ErrorCode::Count)> Errors = {{
    {"busy", Verdict::NotRun},
    {"replica_behind", Verdict::NotRun},
    {"read_only", Verdict::NotRun},
    {"misdirected", Verdict::NotRun},
    {"too_many_connections", Verdict::NotRun},
    {"unknown_statement", Verdict::NotRun},
    {"unknown_database", Verdict::NotRun},
    {"unknown_key", Verdict::NotRun},
    {"malformed", Verdict::NotRun},
    {"too_large", Verdict::NotRun},
    {"aborted", Verdict::NotRun},
    {"failed", Verdict::Ran},
    {"timeout", Verdict::Ran},
    {"in_doubt", Verdict::MayHaveRun},
    {"unrecognized", Verdict::MayHaveRun},
}};

} // namespace

Verdict verdictOf(ErrorCode Code) { return Errors[static_cast<size_t>(Code)].Outcome; }

std::string_view errorName(ErrorCode Code) { return Errors[static_cast<size_t>(Code)].Name; }

} // namespace toucan
