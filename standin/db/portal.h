// Prepared statements, portals and the coding of values.
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

// Type ids of PostgreSQL.
constexpr int32_t BoolOid = 16;
constexpr int32_t ByteaOid = 17;
constexpr int32_t Int8Oid = 20;
constexpr int32_t Int2Oid = 21;
constexpr int32_t Int4Oid = 23;
constexpr int32_t TextOid = 25;
constexpr int32_t Float4Oid = 700;
constexpr int32_t Float8Oid = 701;

struct Column {
  std::string Name;
  int32_t Oid = TextOid;
};

struct Prepared {
  Command Cmd;
  std::vector<int32_t> ParameterTypes;
  SqliteStatement Statement; // empty unless the command is SQL
};

struct Portal {
  Command Cmd;
  SqliteStatement Statement;
  std::vector<Column> Columns;
  std::vector<int16_t> Formats; // none, one for all, or one for each column
  uint64_t Rows = 0;
  bool Started = false;
  bool Done = false;

  int16_t format(size_t Column) const;
};

// Compiles the text of a Sql command.
std::optional<SqlError> prepareSql(sqlite3 *Handle, const std::string &Sql, SqliteStatement &Out);

// Columns of a SQL statement: the type follows from the declared type of a table column; other
// expressions are text.
std::vector<Column> columnsOf(sqlite3_stmt *Statement);
// Number of parameters: the highest N of $N.
int parameterCount(sqlite3_stmt *Statement);

std::string parameterDescription(const Prepared &P);
std::string rowDescription(const std::vector<Column> &Columns, const Portal *Formats);
std::string dataRow(const Portal &P);
// Row of text values.
std::string textRow(const std::vector<std::string> &Values);

// Reads formats and values of Bind and binds them.
std::optional<SqlError> bindParameters(std::string_view Rest, const Prepared &From, Portal &To);

} // namespace toucan::standin

#endif // TOUCAN_STANDIN_DB_PORTAL_H
