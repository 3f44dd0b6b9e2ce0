#include "sql/sql.h"

#include "sql/tree.h"

#include "absl/strings/ascii.h"

#include <nlohmann/json.hpp>
#include <pg_query.h>

#include <array>

namespace toucan::sql {

namespace {

// Longer texts are not parsed, since the parser is recursive. On a stack of 8 MiB it parses an
// expression of 60,000 operators, and overflows the stack at 100,000. An operator takes at least
// two bytes.
constexpr size_t MaxParsedBytes = 64 * 1024;

constexpr std::array<std::string_view, 6> DataStatementWords = {"select", "insert", "update",
                                                                "delete", "merge",  "with"};

constexpr std::array<std::string_view, 21> StatementKindNames = {
    "read",    "write",      "begin", "begin_read_only", "commit", "rollback", "savepoint",
    "set",     "set_local",  "show",  "discard",         "listen", "unlisten", "temp",
    "prepare", "deallocate", "copy",  "cursor_hold",     "lock",   "tx_lock",  "unknown"};
static_assert(StatementKindNames.size() == static_cast<size_t>(StatementKind::Unknown) + 1);

// Returns the offset after the quoted string or identifier that starts at Offset. A doubled quote
// ends one section and starts the next one. In E'...', a backslash escapes the next character.
size_t skipQuoted(std::string_view Sql, size_t Offset) {
  bool Escapes =
      Sql[Offset] == '\'' && Offset > 0 && (Sql[Offset - 1] == 'E' || Sql[Offset - 1] == 'e');
  size_t I = Offset + 1;
  while (I < Sql.size() && Sql[I] != Sql[Offset])
    I += Escapes && Sql[I] == '\\' ? 2 : 1;
  return std::min(I + 1, Sql.size());
}

// Returns the offset after the dollar-quoted string that starts at Offset, or Offset + 1 if none
// starts there.
size_t skipDollarQuoted(std::string_view Sql, size_t Offset) {
  size_t End = Offset + 1;
  while (End < Sql.size() && (absl::ascii_isalnum(Sql[End]) || Sql[End] == '_'))
    ++End;
  if (End >= Sql.size() || Sql[End] != '$')
    return Offset + 1;
  std::string_view Tag = Sql.substr(Offset, End - Offset + 1);
  size_t Close = Sql.find(Tag, End + 1);
  return Close == std::string_view::npos ? Sql.size() : Close + Tag.size();
}

// Returns the offset after the block comment that starts at Offset. Block comments can be nested.
size_t skipComment(std::string_view Sql, size_t Offset) {
  int Depth = 1;
  size_t I = Offset + 2;
  while (I < Sql.size() && Depth > 0) {
    std::string_view NextTwo = Sql.substr(I, 2);
    Depth += NextTwo == "/*" ? 1 : NextTwo == "*/" ? -1 : 0;
    I += NextTwo == "/*" || NextTwo == "*/" ? 2 : 1;
  }
  return std::min(I, Sql.size());
}

// Returns the quoted text after request_id= in a comment, if it is not empty.
std::optional<std::string> parseRequestId(std::string_view Comment) {
  constexpr std::string_view Key = "request_id='";
  size_t Begin = Comment.find(Key);
  if (Begin == std::string_view::npos)
    return std::nullopt;
  Begin += Key.size();
  size_t End = Comment.find('\'', Begin);
  if (End == std::string_view::npos || End == Begin)
    return std::nullopt;
  return std::string(Comment.substr(Begin, End - Begin));
}

// Returns the first word of a statement in lower case. Skips blanks, comments and opening
// parentheses before it.
std::string firstWord(std::string_view Sql) {
  size_t I = 0;
  while (I < Sql.size()) {
    if (Sql.substr(I, 2) == "/*")
      I = skipComment(Sql, I);
    else if (Sql.substr(I, 2) == "--")
      I = std::min(Sql.find('\n', I), Sql.size());
    else if (absl::ascii_isspace(Sql[I]) || Sql[I] == '(')
      ++I;
    else
      break;
  }
  size_t End = I;
  while (End < Sql.size() && absl::ascii_isalpha(Sql[End]))
    ++End;
  std::string Word(Sql.substr(I, End - I));
  absl::AsciiStrToLower(&Word);
  return Word;
}

// Classifies a text that is too long to parse by the first word of each statement. The scanner that
// splits the text into statements is not recursive.
Classification classifyByFirstWord(const std::string &Sql) {
  Classification Out;
  PgQuerySplitResult Split = pg_query_split_with_scanner(Sql.c_str());
  for (int I = 0; !Split.error && I < Split.n_stmts; ++I) {
    const PgQuerySplitStmt &S = *Split.stmts[I];
    std::string Word = firstWord(std::string_view(Sql).substr(S.stmt_location, S.stmt_len));
    bool IsDataStatement = std::find(DataStatementWords.begin(), DataStatementWords.end(), Word) !=
                           DataStatementWords.end();
    Out.Statements.push_back(
        {.Kind = IsDataStatement ? StatementKind::Write : StatementKind::Unknown});
  }
  if (Split.error)
    Out.Statements = {{.Kind = StatementKind::Unknown}};
  pg_query_free_split_result(Split);
  return Out;
}

// Returns the fingerprint of a statement, which does not depend on its constants; 0 on an error.
uint64_t computeFingerprint(const std::string &Sql) {
  PgQueryFingerprintResult Result = pg_query_fingerprint(Sql.c_str());
  uint64_t Out = Result.error ? 0 : Result.fingerprint;
  pg_query_free_fingerprint_result(Result);
  return Out;
}

} // namespace

std::string_view statementKindName(StatementKind K) {
  return StatementKindNames[static_cast<size_t>(K)];
}

std::optional<RequestIdComment> findRequestId(std::string_view Sql) {
  if (Sql.find("request_id='") == std::string_view::npos)
    return std::nullopt;
  size_t I = 0;
  while (I < Sql.size()) {
    std::string_view NextTwo = Sql.substr(I, 2);
    if (NextTwo == "/*") {
      size_t End = skipComment(Sql, I);
      if (auto Id = parseRequestId(Sql.substr(I, End - I)))
        return RequestIdComment{.Id = std::move(*Id), .Begin = I, .End = End};
      I = End;
    } else if (NextTwo == "--") {
      I = std::min(Sql.find('\n', I), Sql.size());
    } else if (Sql[I] == '\'' || Sql[I] == '"') {
      I = skipQuoted(Sql, I);
    } else if (Sql[I] == '$') {
      I = skipDollarQuoted(Sql, I);
    } else {
      ++I;
    }
  }
  return std::nullopt;
}

Classification classifyText(const std::string &Sql) {
  if (Sql.size() > MaxParsedBytes)
    return classifyByFirstWord(Sql);
  Classification Out;
  PgQueryParseResult Result = pg_query_parse(Sql.c_str());
  if (!Result.error) {
    auto Tree = nlohmann::json::parse(Result.parse_tree, nullptr, false);
    if (!Tree.is_discarded() && Tree.contains("stmts")) {
      Out.Parsed = true;
      for (const auto &Row : Tree["stmts"])
        if (Row.contains("stmt"))
          Out.Statements.push_back(classifyTree(Row["stmt"]));
    }
  }
  pg_query_free_parse_result(Result);
  if (!Out.Parsed)
    Out.Statements = {{.Kind = StatementKind::Write}};
  else if (Out.Statements.size() == 1)
    Out.Fingerprint = computeFingerprint(Sql);
  return Out;
}

std::shared_ptr<const Classification> Classifier::classify(const std::string &Sql) {
  std::string WithoutId;
  if (auto Comment = findRequestId(Sql))
    WithoutId = Sql.substr(0, Comment->Begin) + ' ' + Sql.substr(Comment->End);
  const std::string &Key = WithoutId.empty() ? Sql : WithoutId;
  if (auto It = this->Young.find(Key); It != this->Young.end())
    return It->second;
  std::shared_ptr<const Classification> Entry;
  if (auto It = this->Old.find(Key); It != this->Old.end()) {
    Entry = It->second;
  } else {
    ++this->MissCount;
    Entry = std::make_shared<const Classification>(classifyText(Key));
  }
  this->insert(Key, Entry);
  return Entry;
}

void Classifier::insert(const std::string &Sql,
                        const std::shared_ptr<const Classification> &Entry) {
  // Skips texts over 1/16 of the cache, since each would evict many short texts.
  if (Sql.size() > this->MaxBytes / 16)
    return;
  if (this->YoungBytes + Sql.size() > this->MaxBytes / 2) {
    this->Old = std::move(this->Young);
    this->OldBytes = this->YoungBytes;
    this->Young.clear();
    this->YoungBytes = 0;
  }
  this->Young.emplace(Sql, Entry);
  this->YoungBytes += Sql.size();
}

} // namespace toucan::sql
