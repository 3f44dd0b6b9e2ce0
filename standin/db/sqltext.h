// Splits SQL text into statements and recognises those that SQLite does not run itself.
#ifndef TOUCAN_STANDIN_DB_SQLTEXT_H
#define TOUCAN_STANDIN_DB_SQLTEXT_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace toucan::standin {

enum class CommandKind : uint8_t {
  Empty,
  Begin,
  Commit,
  Rollback,
  Savepoint,
  Release,
  RollbackTo,
  Set,
  Show,
  Reset,     // RESET name, RESET ALL
  Discard,   // DISCARD ALL
  GroupCall, // SELECT * FROM group_...(...)
  Refused,   // statements that would reach around the log
  Sql,       // run by SQLite
};

struct Command {
  CommandKind Kind = CommandKind::Empty;
  std::string Text;
  std::string Tag;                    // command tag without a number
  std::string Name;                   // savepoint, setting or function
  std::string Value;                  // value of a setting
  std::vector<std::string> Arguments; // of a group function, quotes removed
  bool ReadOnly = false;              // BEGIN READ ONLY
  bool Local = false;                 // SET LOCAL
  bool Counted = false;               // the tag ends with the number of rows
};

// Splits at semicolons outside of strings, comments and trigger bodies. Statements that are
// empty or only comments are left out.
std::vector<std::string> splitStatements(std::string_view Sql);

Command classify(std::string_view Statement);

} // namespace toucan::standin

#endif // TOUCAN_STANDIN_DB_SQLTEXT_H
