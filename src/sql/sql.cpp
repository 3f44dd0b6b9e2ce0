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

constexpr std::array<std::string_view, 6> PlainDataWords = {"select", "insert", "update",
                                                            "delete", "merge",  "with"};

constexpr std::array<std::string_view, 21> KindNames = {
    "read",    "write",      "begin", "begin_read_only", "commit", "rollback", "savepoint",
    "set",     "set_local",  "show",  "discard",         "listen", "unlisten", "temp",
    "prepare", "deallocate", "copy",  "cursor_hold",     "lock",   "tx_lock",  "unknown"};
static_assert(KindNames.size() == static_cast<size_t>(Kind::Unknown) + 1);

// Returns the offset after the quoted string or identifier that starts at At. A doubled quote ends
// one section and starts the next one. In E'...', a backslash escapes the next character.
size_t skipQuoted(std::string_view Sql, size_t At) {
  bool Escapes = Sql[At] == '\'' && At > 0 && (Sql[At - 1] == 'E' || Sql[At - 1] == 'e');
  size_t I = At + 1;
  while (I < Sql.size() && Sql[I] != Sql[At])
    I += Escapes && Sql[I] == '\\' ? 2 : 1;
  return std::min(I + 1, Sql.size());
}

// Returns the offset after the dollar-quoted string that starts at At, or At + 1 if none starts
// there.
size_t skipDollar(std::string_view Sql, size_t At) {
  size_t End = At + 1;
  while (End < Sql.size() && (absl::ascii_isalnum(Sql[End]) || Sql[End] == '_'))
    ++End;
  if (End >= Sql.size() || Sql[End] != '$')
    return At + 1;
  std::string_view Tag = Sql.substr(At, End - At + 1);
  size_t Close = Sql.find(Tag, End + 1);
  return Close == std::string_view::npos ? Sql.size() : Close + Tag.size();
}

// Returns the offset after the block comment that starts at At. Block comments can be nested.
size_t skipComment(std::string_view Sql, size_t At) {
  int Depth = 1;
  size_t I = At + 2;
  while (I < Sql.size() && Depth > 0) {
    std::string_view Two = Sql.substr(I, 2);
    Depth += Two == "/*" ? 1 : Two == "*/" ? -1 : 0;
    I += Two == "/*" || Two == "*/" ? 2 : 1;
  }
  return std::min(I, Sql.size());
}

// Returns the quoted text after request_id= in a comment, if it is not empty.
std::optional<std::string> idInComment(std::string_view Comment) {
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
Classified classifyLong(const std::string &Sql) {
  Classified Out;
  PgQuerySplitResult Split = pg_query_split_with_scanner(Sql.c_str());
  for (int I = 0; !Split.error && I < Split.n_stmts; ++I) {
    const PgQuerySplitStmt &S = *Split.stmts[I];
    std::string Word = firstWord(std::string_view(Sql).substr(S.stmt_location, S.stmt_len));
    bool Plain =
        std::find(PlainDataWords.begin(), PlainDataWords.end(), Word) != PlainDataWords.end();
    Out.Statements.push_back({.Is = Plain ? Kind::Write : Kind::Unknown});
  }
  if (Split.error)
    Out.Statements = {{.Is = Kind::Unknown}};
  pg_query_free_split_result(Split);
  return Out;
}

// Returns the fingerprint of a statement, which does not depend on its constants; 0 on an error.
uint64_t fingerprintOf(const std::string &Sql) {
  PgQueryFingerprintResult Result = pg_query_fingerprint(Sql.c_str());
  uint64_t Out = Result.error ? 0 : Result.fingerprint;
  pg_query_free_fingerprint_result(Result);
  return Out;
}

} // namespace

std::string_view kindName(Kind K) { return KindNames[static_cast<size_t>(K)]; }

std::optional<RequestIdComment> findRequestId(std::string_view Sql) {
  if (Sql.find("request_id='") == std::string_view::npos)
    return std::nullopt;
  size_t I = 0;
  while (I < Sql.size()) {
    std::string_view Two = Sql.substr(I, 2);
    if (Two == "/*") {
      size_t End = skipComment(Sql, I);
      if (auto Id = idInComment(Sql.substr(I, End - I)))
        return RequestIdComment{.Id = std::move(*Id), .Begin = I, .End = End};
      I = End;
    } else if (Two == "--") {
      I = std::min(Sql.find('\n', I), Sql.size());
    } else if (Sql[I] == '\'' || Sql[I] == '"') {
      I = skipQuoted(Sql, I);
    } else if (Sql[I] == '$') {
      I = skipDollar(Sql, I);
    } else {
      ++I;
    }
  }
  return std::nullopt;
}

Classified classifyText(const std::string &Sql) {
  if (Sql.size() > MaxParsedBytes)
    return classifyLong(Sql);
  Classified Out;
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
    Out.Statements = {{.Is = Kind::Write}};
  else if (Out.Statements.size() == 1)
    Out.Fingerprint = fingerprintOf(Sql);
  return Out;
}

std::shared_ptr<const Classified> Classifier::classify(const std::string &Sql) {
  std::string Cut;
  if (auto Comment = findRequestId(Sql))
    Cut = Sql.substr(0, Comment->Begin) + ' ' + Sql.substr(Comment->End);
  const std::string &Key = Cut.empty() ? Sql : Cut;
  if (auto It = this->Young.find(Key); It != this->Young.end())
    return It->second;
  std::shared_ptr<const Classified> Entry;
  if (auto It = this->Old.find(Key); It != this->Old.end()) {
    Entry = It->second;
  } else {
    ++this->MissCount;
    Entry = std::make_shared<const Classified>(classifyText(Key));
  }
  this->keep(Key, Entry);
  return Entry;
}

void Classifier::keep(const std::string &Sql, const std::shared_ptr<const Classified> &Entry) {
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
