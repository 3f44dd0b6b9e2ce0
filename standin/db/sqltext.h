// Splits SQL text into statements and classifies them: which the session handles itself, which it
// refuses and which SQLite runs.
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
  Reset,       // RESET name, RESET ALL
  Discard,     // DISCARD ALL
  GroupCall,   // SELECT * FROM group_...(...)
  Unsupported, // such as statements that would bypass the log
  Sql,         // SQLite runs it
};

struct Command {
  CommandKind Kind = CommandKind::Empty;
  std::string Text;
  std::string Tag;                    // command tag without the row count
  std::string Name;                   // of a savepoint, setting or group function
  std::string Value;                  // new value of a setting (SET)
  std::vector<std::string> Arguments; // of a group function, quotes removed
  bool ReadOnly = false;              // BEGIN READ ONLY
  bool Local = false;                 // SET LOCAL
  bool TagHasRowCount = false;        // the command tag ends with the row count
};

// Splits at semicolons outside of strings, comments and trigger bodies. Omits statements that are
// empty or contain only comments.
std::vector<std::string> splitStatements(std::string_view Sql);

Command classify(std::string_view Statement);

} // namespace toucan::standin

#endif // TOUCAN_STANDIN_DB_SQLTEXT_H
