#include "portal.h"

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_format.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cstdlib>
#include <string_view>

namespace toucan::standin {

namespace {

struct DeclaredType {
  std::string_view NamePart;
  int32_t Oid;
};

// The first entry whose NamePart occurs in the declared type of a column decides its type.
constexpr std::array DeclaredTypes = {
    DeclaredType{"INT", Int8Oid},    DeclaredType{"SERIAL", Int8Oid},
    DeclaredType{"BOOL", BoolOid},   DeclaredType{"DOUBLE", Float8Oid},
    DeclaredType{"FLOA", Float8Oid}, DeclaredType{"REAL", Float8Oid},
    DeclaredType{"BYTEA", ByteaOid}, DeclaredType{"BLOB", ByteaOid},
};

int32_t oidOfDeclaredType(const char *Declared) {
  if (Declared == nullptr)
    return TextOid;
  std::string Upper = absl::AsciiStrToUpper(Declared);
  for (const DeclaredType &T : DeclaredTypes)
    if (Upper.find(T.NamePart) != std::string::npos)
      return T.Oid;
  return TextOid;
}

// Size of a type in RowDescription; -1 for a variable size.
int16_t typeSize(int32_t Oid) {
  if (Oid == BoolOid)
    return 1;
  return Oid == Int8Oid || Oid == Float8Oid ? 8 : -1;
}

std::string bigEndian(uint64_t V) {
  std::string Out(8, '\0');
  for (size_t I = 0; I < 8; ++I)
    Out[I] = static_cast<char>(V >> (56 - 8 * I));
  return Out;
}

uint64_t fromBigEndian(std::string_view Bytes) {
  uint64_t V = 0;
  for (char C : Bytes)
    V = V << 8 | static_cast<uint8_t>(C);
  return V;
}

std::string_view columnText(sqlite3_stmt *S, int At) {
  const auto *Text = reinterpret_cast<const char *>(sqlite3_column_text(S, At));
  return {Text, static_cast<size_t>(sqlite3_column_bytes(S, At))};
}

bool parseBoolean(std::string_view Text) {
  return !Text.empty() && std::string_view("tTyY1").find(Text[0]) != std::string_view::npos;
}

bool columnBoolean(sqlite3_stmt *S, int At) {
  return sqlite3_column_type(S, At) == SQLITE_TEXT ? parseBoolean(columnText(S, At))
                                                   : sqlite3_column_int64(S, At) != 0;
}

std::string hexText(std::string_view Bytes) {
  std::string Out = "\\x";
  for (char C : Bytes)
    Out += absl::StrFormat("%02x", static_cast<uint8_t>(C));
  return Out;
}

std::string_view columnBlob(sqlite3_stmt *S, int At) {
  const char *Bytes = static_cast<const char *>(sqlite3_column_blob(S, At));
  return {Bytes, static_cast<size_t>(sqlite3_column_bytes(S, At))};
}

void writeValue(wire::Writer &W, sqlite3_stmt *S, int At, int32_t Oid, bool Binary) {
  auto WriteBytes = [&W](std::string_view V) { W.int32(static_cast<int32_t>(V.size())).bytes(V); };
  if (sqlite3_column_type(S, At) == SQLITE_NULL)
    W.int32(-1);
  else if (Oid == BoolOid && Binary)
    WriteBytes(columnBoolean(S, At) ? std::string_view("\1", 1) : std::string_view("\0", 1));
  else if (Oid == BoolOid)
    WriteBytes(columnBoolean(S, At) ? "t" : "f");
  else if (Oid == Int8Oid && Binary)
    WriteBytes(bigEndian(static_cast<uint64_t>(sqlite3_column_int64(S, At))));
  else if (Oid == Float8Oid && Binary)
    WriteBytes(bigEndian(std::bit_cast<uint64_t>(sqlite3_column_double(S, At))));
  else if (Oid == ByteaOid && !Binary)
    WriteBytes(hexText(columnBlob(S, At)));
  else
    WriteBytes(columnText(S, At));
}

// Parameter value of a Bind message with its type and format.
struct Parameter {
  int32_t Oid = 0;
  bool Binary = false;
  std::string_view Bytes;
};

bool isInteger(int32_t Oid) { return Oid == Int8Oid || Oid == Int4Oid || Oid == Int2Oid; }
bool isFloat(int32_t Oid) { return Oid == Float8Oid || Oid == Float4Oid; }

// Decodes and sign-extends a big-endian integer.
int64_t binaryInteger(std::string_view Bytes) {
  size_t Shift = 64 - 8 * Bytes.size();
  return static_cast<int64_t>(fromBigEndian(Bytes) << Shift) >> Shift;
}

int bindBinary(sqlite3_stmt *S, int At, const Parameter &P) {
  size_t Size = P.Bytes.size();
  if (isInteger(P.Oid))
    return Size == 2 || Size == 4 || Size == 8 ? sqlite3_bind_int64(S, At, binaryInteger(P.Bytes))
                                               : SQLITE_MISMATCH;
  if (P.Oid == BoolOid)
    return Size == 1 ? sqlite3_bind_int(S, At, P.Bytes[0] != 0 ? 1 : 0) : SQLITE_MISMATCH;
  if (P.Oid == Float8Oid && Size == 8)
    return sqlite3_bind_double(S, At, std::bit_cast<double>(fromBigEndian(P.Bytes)));
  if (P.Oid == Float4Oid && Size == 4)
    return sqlite3_bind_double(S, At,
                               std::bit_cast<float>(static_cast<uint32_t>(fromBigEndian(P.Bytes))));
  if (isFloat(P.Oid))
    return SQLITE_MISMATCH;
  if (P.Oid == ByteaOid)
    return sqlite3_bind_blob64(S, At, P.Bytes.data(), Size, SQLITE_TRANSIENT);
  return sqlite3_bind_text64(S, At, P.Bytes.data(), Size, SQLITE_TRANSIENT, SQLITE_UTF8);
}

int bindText(sqlite3_stmt *S, int At, const Parameter &P) {
  absl::string_view Text(P.Bytes.data(), P.Bytes.size());
  if (int64_t Number = 0; isInteger(P.Oid))
    return absl::SimpleAtoi(Text, &Number) ? sqlite3_bind_int64(S, At, Number) : SQLITE_MISMATCH;
  if (double Number = 0; isFloat(P.Oid))
    return absl::SimpleAtod(Text, &Number) ? sqlite3_bind_double(S, At, Number) : SQLITE_MISMATCH;
  if (P.Oid == BoolOid)
    return sqlite3_bind_int(S, At, parseBoolean(P.Bytes) ? 1 : 0);
  return sqlite3_bind_text64(S, At, P.Bytes.data(), P.Bytes.size(), SQLITE_TRANSIENT, SQLITE_UTF8);
}

// N of the parameter name $N. SQLite includes a cast in the name ("$1::int"); atoi() ignores it.
int parameterNumber(const char *Name) { return Name == nullptr ? 0 : std::atoi(Name + 1); }

// Binds P to every parameter of the statement that has number N; null binds NULL.
int bindNumberedParameter(sqlite3_stmt *S, int N, const Parameter *P) {
  int Code = SQLITE_OK;
  for (int At = 1; At <= sqlite3_bind_parameter_count(S) && Code == SQLITE_OK; ++At) {
    if (parameterNumber(sqlite3_bind_parameter_name(S, At)) != N)
      continue;
    if (P == nullptr)
      Code = sqlite3_bind_null(S, At);
    else
      Code = P->Binary ? bindBinary(S, At, *P) : bindText(S, At, *P);
  }
  return Code;
}

std::vector<int16_t> readFormats(wire::BodyReader &R) {
  std::vector<int16_t> Out(static_cast<size_t>(std::max<int16_t>(R.int16(), 0)));
  for (int16_t &Format : Out)
    Format = R.int16();
  return Out;
}

int16_t formatAt(const std::vector<int16_t> &Formats, size_t At) {
  if (Formats.empty())
    return 0;
  return Formats.size() == 1 ? Formats[0] : At < Formats.size() ? Formats[At] : int16_t{0};
}

SqlError protocolError(std::string Text) { return {.State = "08P01", .Message = std::move(Text)}; }

} // namespace

int16_t Portal::columnFormat(size_t Column) const { return formatAt(this->ResultFormats, Column); }

std::optional<SqlError> prepareSql(sqlite3 *Handle, const std::string &Sql, SqliteStatement &Out) {
  sqlite3_stmt *Raw = nullptr;
  int Code =
      sqlite3_prepare_v2(Handle, Sql.c_str(), static_cast<int>(Sql.size()) + 1, &Raw, nullptr);
  Out.reset(Raw);
  if (Code != SQLITE_OK || Raw == nullptr)
    return sqliteError(Handle);
  return std::nullopt;
}

std::vector<Column> resultColumns(sqlite3_stmt *Statement) {
  std::vector<Column> Out;
  Out.reserve(static_cast<size_t>(sqlite3_column_count(Statement)));
  for (int I = 0; I < sqlite3_column_count(Statement); ++I)
    Out.push_back({.Name = sqlite3_column_name(Statement, I),
                   .Oid = oidOfDeclaredType(sqlite3_column_decltype(Statement, I))});
  return Out;
}

int parameterCount(sqlite3_stmt *Statement) {
  int Highest = 0;
  for (int At = 1; At <= sqlite3_bind_parameter_count(Statement); ++At)
    Highest = std::max(Highest, parameterNumber(sqlite3_bind_parameter_name(Statement, At)));
  return Highest;
}

std::string parameterDescription(const PreparedStatement &P) {
  wire::Writer W;
  W.begin('t').int16(static_cast<int16_t>(P.ParameterTypes.size()));
  for (int32_t Oid : P.ParameterTypes)
    W.int32(Oid);
  return W.end().take();
}

std::string rowDescription(const std::vector<Column> &Columns, const Portal *Formats) {
  wire::Writer W;
  W.begin('T').int16(static_cast<int16_t>(Columns.size()));
  for (size_t I = 0; I < Columns.size(); ++I) {
    int32_t Oid = Columns[I].Oid;
    W.cstring(Columns[I].Name).int32(0).int16(0).int32(Oid).int16(typeSize(Oid)).int32(-1);
    W.int16(Formats != nullptr ? Formats->columnFormat(I) : int16_t{0});
  }
  return W.end().take();
}

std::string dataRow(const Portal &P) {
  wire::Writer W;
  W.begin('D').int16(static_cast<int16_t>(P.Columns.size()));
  for (size_t I = 0; I < P.Columns.size(); ++I)
    writeValue(W, P.Statement.get(), static_cast<int>(I), P.Columns[I].Oid, P.columnFormat(I) == 1);
  return W.end().take();
}

std::string textRow(const std::vector<std::string> &Values) {
  wire::Writer W;
  W.begin('D').int16(static_cast<int16_t>(Values.size()));
  for (const std::string &V : Values)
    W.int32(static_cast<int32_t>(V.size())).bytes(V);
  return W.end().take();
}

std::optional<SqlError> bindParameters(std::string_view Rest, const PreparedStatement &Prepared,
                                       Portal &Out) {
  wire::BodyReader R(Rest);
  std::vector<int16_t> ValueFormats = readFormats(R);
  int16_t Count = R.int16();
  size_t Expected = Prepared.ParameterTypes.size();
  if (R.ok() && static_cast<size_t>(Count) != Expected)
    return protocolError(
        absl::StrFormat("bind message supplies %d parameters, but prepared statement requires %d",
                        Count, Expected));
  for (int16_t I = 0; I < Count && R.ok(); ++I) {
    int32_t Size = R.int32();
    Parameter P{.Oid = Prepared.ParameterTypes[static_cast<size_t>(I)],
                .Binary = formatAt(ValueFormats, static_cast<size_t>(I)) == 1,
                .Bytes = Size > 0 ? R.bytes(static_cast<size_t>(Size)) : std::string_view("")};
    if (Out.Statement &&
        bindNumberedParameter(Out.Statement.get(), I + 1, Size < 0 ? nullptr : &P) != SQLITE_OK)
      return SqlError{.State = "22P02",
                      .Message = absl::StrFormat("invalid value for parameter $%d", I + 1)};
  }
  Out.ResultFormats = readFormats(R);
  if (!R.ok())
    return protocolError("malformed Bind message");
  return std::nullopt;
}

} // namespace toucan::standin
