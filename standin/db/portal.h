// Prepared statements and portals, and the encoding and decoding of their values.
#ifndef TOUCAN_STANDIN_DB_PORTAL_H
#define TOUCAN_STANDIN_DB_PORTAL_H

#include "database.h"
#include "sqltext.h"

#include "wire/wire.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace toucan::standin {

// Object ids (OIDs) of PostgreSQL data types.
constexpr int32_t BoolOid = 16;
constexpr int32_t ByteaOid = 17;
constexpr int32_t Int8Oid = 20;
constexpr int32_t Int2Oid = 21;
constexpr int32_t Int4Oid = 23;
constexpr int32_t TextOid = 25;
constexpr int32_t Float4Oid = 700;
constexpr int32_t Float8Oid = 701;

// Result column.
struct Column {
  std::string Name;
  int32_t Oid = TextOid;
};

// Prepared statement, created by Parse.
struct PreparedStatement {
  Command Cmd;
  std::vector<int32_t> ParameterTypes;
  SqliteStatement Statement; // null unless SQLite runs the command
};

// Statement with bound parameters, created by Bind.
struct Portal {
  Command Cmd;
  SqliteStatement Statement;
  std::vector<Column> Columns;
  std::vector<int16_t> ResultFormats; // empty (all text), one for all columns, or one per column
  uint64_t RowsSent = 0;              // by the current Execute
  bool Started = false;
  bool Finished = false;

  int16_t columnFormat(size_t Column) const;
};

// Compiles a command of kind CommandKind::Sql.
std::optional<SqlError> prepareSql(sqlite3 *Handle, const std::string &Sql, SqliteStatement &Out);

// Result columns of a statement. A table column has the type derived from its declared type; any
// other expression is text.
std::vector<Column> resultColumns(sqlite3_stmt *Statement);
// Number of parameters: the highest N of $N.
int parameterCount(sqlite3_stmt *Statement);

std::string parameterDescription(const PreparedStatement &P);
// Formats: portal with the result formats; null means text.
std::string rowDescription(const std::vector<Column> &Columns, const Portal *Formats);
std::string dataRow(const Portal &P);
// DataRow message of text values.
std::string textRow(const std::vector<std::string> &Values);

// Decodes the formats and parameter values of a Bind message (Rest) and binds the values to Out.
std::optional<SqlError> bindParameters(std::string_view Rest, const PreparedStatement &Prepared,
                                       Portal &Out);

} // namespace toucan::standin

#endif // TOUCAN_STANDIN_DB_PORTAL_H
