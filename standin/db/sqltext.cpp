#include "sqltext.h"

#include "absl/strings/ascii.h"

#include <array>
#include <cctype>
#include <cstddef>

#include <sqlite3.h>

namespace toucan::standin {

namespace {

// A word, a string or identifier without its quotes, or a single character.
struct Token {
  std::string Text;
  bool Quoted = false;
};

// End of the quoted string, quoted identifier or comment that starts at At. Any other character is
// a unit of its own and ends at At + 1.
size_t endOfUnit(std::string_view Sql, size_t At) {
  char C = Sql[At];
  if (C == '\'' || C == '"') {
    size_t End = Sql.find(C, At + 1);
    return End == std::string_view::npos ? Sql.size() : End + 1;
  }
  if (Sql.substr(At, 2) == "--") {
    size_t End = Sql.find('\n', At);
    return End == std::string_view::npos ? Sql.size() : End + 1;
  }
  if (Sql.substr(At, 2) == "/*") {
    size_t End = Sql.find("*/", At + 2);
    return End == std::string_view::npos ? Sql.size() : End + 2;
  }
  return At + 1;
}

bool startsComment(std::string_view Sql, size_t At) {
  return Sql.substr(At, 2) == "--" || Sql.substr(At, 2) == "/*";
}

bool isSpace(char C) { return std::isspace(static_cast<unsigned char>(C)) != 0; }

bool isWordCharacter(char C) {
  return std::isalnum(static_cast<unsigned char>(C)) != 0 || C == '_' || C == '.';
}

std::vector<Token> tokenize(std::string_view Sql, size_t Limit) {
  std::vector<Token> Out;
  size_t At = 0;
  while (At < Sql.size() && Out.size() < Limit) {
    size_t End = endOfUnit(Sql, At);
    if (isSpace(Sql[At]) || startsComment(Sql, At)) {
      // White space and comments are not tokens.
    } else if (Sql[At] == '\'' || Sql[At] == '"') {
      size_t Length = End - At >= 2 ? End - At - 2 : 0;
      Out.push_back({.Text = std::string(Sql.substr(At + 1, Length)), .Quoted = true});
    } else {
      while (isWordCharacter(Sql[At]) && End < Sql.size() && isWordCharacter(Sql[End]))
        ++End;
      Out.push_back({.Text = std::string(Sql.substr(At, End - At))});
    }
    At = End;
  }
  return Out;
}

class TokenReader {
public:
  explicit TokenReader(const std::vector<Token> &Tokens) : Tokens(Tokens) {}
  // Lower-case text of token I; empty if it is quoted or I is out of range.
  std::string keyword(size_t I) const {
    if (I >= this->Tokens.size() || this->Tokens[I].Quoted)
      return "";
    return absl::AsciiStrToLower(this->Tokens[I].Text);
  }
  std::string text(size_t I) const { return I < this->Tokens.size() ? this->Tokens[I].Text : ""; }
  size_t size() const { return this->Tokens.size(); }
  bool hasPair(std::string_view First, std::string_view Second) const {
    for (size_t I = 0; I + 1 < this->Tokens.size(); ++I)
      if (this->keyword(I) == First && this->keyword(I + 1) == Second)
        return true;
    return false;
  }

private:
  const std::vector<Token> &Tokens;
};

// Index after the optional keyword WORK or TRANSACTION at index At, as in ROLLBACK WORK.
size_t skipOptionalKeyword(const TokenReader &W, size_t At) {
  return W.keyword(At) == "work" || W.keyword(At) == "transaction" ? At + 1 : At;
}

bool classifyTransaction(const TokenReader &W, Command &C) {
  std::string First = W.keyword(0);
  if (First == "begin" || (First == "start" && W.keyword(1) == "transaction")) {
    C.Kind = CommandKind::Begin;
    C.Tag = First == "begin" ? "BEGIN" : "START TRANSACTION";
    C.ReadOnly = W.hasPair("read", "only");
  } else if (First == "commit" || First == "end") {
    C.Kind = CommandKind::Commit;
    C.Tag = "COMMIT";
  } else if (First == "rollback" || First == "abort") {
    size_t At = skipOptionalKeyword(W, 1);
    bool ToSavepoint = W.keyword(At) == "to";
    C.Kind = ToSavepoint ? CommandKind::RollbackTo : CommandKind::Rollback;
    C.Tag = "ROLLBACK";
    if (ToSavepoint)
      C.Name = W.text(W.keyword(At + 1) == "savepoint" ? At + 2 : At + 1);
  } else if (First == "savepoint") {
    C.Kind = CommandKind::Savepoint;
    C.Tag = "SAVEPOINT";
    C.Name = W.text(1);
  } else if (First == "release") {
    C.Kind = CommandKind::Release;
    C.Tag = "RELEASE";
    C.Name = W.text(W.keyword(1) == "savepoint" ? 2 : 1);
  } else {
    return false;
  }
  return true;
}

void classifySet(const TokenReader &W, Command &C) {
  size_t At = W.keyword(1) == "session" || W.keyword(1) == "local" ? 2 : 1;
  C.Kind = CommandKind::Set;
  C.Local = W.keyword(1) == "local";
  C.Tag = "SET";
  C.Name = W.keyword(At);
  if (C.Name == "time" && W.keyword(At + 1) == "zone") {
    C.Name = "timezone";
    At += 2;
  } else if (C.Name == "transaction" || C.Name == "characteristics") {
    C.ReadOnly = W.hasPair("read", "only");
    return;
  } else {
    At += 2;
  }
  for (; At < W.size(); ++At) {
    if (!C.Value.empty() && W.text(At) != ",")
      C.Value += ' ';
    C.Value += W.text(At);
  }
}

bool classifySettings(const TokenReader &W, Command &C) {
  std::string First = W.keyword(0);
  if (First == "set") {
    classifySet(W, C);
  } else if (First == "show") {
    C.Kind = CommandKind::Show;
    C.Tag = "SHOW";
    C.Name = W.keyword(1) == "time" ? "timezone" : W.keyword(1);
    if (C.Name == "transaction")
      C.Name = "transaction_isolation";
  } else if (First == "reset") {
    C.Kind = CommandKind::Reset;
    C.Tag = "RESET";
    C.Name = W.keyword(1);
  } else if (First == "discard") {
    C.Kind = CommandKind::Discard;
    C.Tag = "DISCARD ALL";
  } else {
    return false;
  }
  return true;
}

bool classifyGroupCall(const TokenReader &W, Command &C) {
  if (W.keyword(0) != "select" || W.keyword(1) != "*" || W.keyword(2) != "from" ||
      W.keyword(4) != "(" || W.keyword(3).substr(0, 6) != "group_")
    return false;
  C.Kind = CommandKind::GroupCall;
  C.Tag = "SELECT";
  C.Name = W.keyword(3);
  for (size_t At = 5; At < W.size() && W.keyword(At) != ")"; ++At)
    if (W.keyword(At) != ",")
      C.Arguments.push_back(W.text(At));
  return true;
}

constexpr std::array UnsupportedVerbs = {
    "pragma",   "attach", "detach",  "vacuum",  "reindex",    "analyze", "copy",  "listen",
    "unlisten", "notify", "prepare", "execute", "deallocate", "declare", "fetch", "lock"};

// Verb of the statement that follows the WITH clause: the first verb outside of parentheses, SELECT
// if there is none.
std::string verbAfterWith(const TokenReader &W) {
  int Depth = 0;
  for (size_t I = 1; I < W.size(); ++I) {
    std::string Word = W.keyword(I);
    Depth += Word == "(" ? 1 : 0;
    Depth -= Word == ")" ? 1 : 0;
    if (Depth == 0 && (Word == "insert" || Word == "update" || Word == "delete" ||
                       Word == "replace" || Word == "select" || Word == "values"))
      return Word;
  }
  return "select";
}

void classifySql(const TokenReader &W, Command &C) {
  std::string Verb = W.keyword(0);
  for (const char *Word : UnsupportedVerbs)
    if (Verb == Word) {
      C.Kind = CommandKind::Unsupported;
      C.Tag = absl::AsciiStrToUpper(Verb);
      return;
    }
  C.Kind = CommandKind::Sql;
  if (Verb == "with")
    Verb = verbAfterWith(W);
  if (Verb == "insert" || Verb == "replace")
    C.Tag = "INSERT 0";
  else if (Verb == "update" || Verb == "delete")
    C.Tag = absl::AsciiStrToUpper(Verb);
  else if (Verb == "select" || Verb == "values")
    C.Tag = "SELECT";
  C.TagHasRowCount = !C.Tag.empty();
  if (C.TagHasRowCount)
    return;
  C.Tag = absl::AsciiStrToUpper(Verb);
  if (Verb != "create" && Verb != "drop" && Verb != "alter")
    return;
  if (W.keyword(1) == "temp" || W.keyword(1) == "temporary") {
    C.Kind = CommandKind::Unsupported;
    C.Tag = "CREATE TEMPORARY";
    return;
  }
  size_t At = 1;
  while (W.keyword(At) == "unique")
    ++At;
  C.Tag += ' ' + absl::AsciiStrToUpper(W.keyword(At));
}

} // namespace

std::vector<std::string> splitStatements(std::string_view Sql) {
  std::vector<std::string> Out;
  size_t Start = 0;
  size_t At = 0;
  bool HasContent = false;
  auto AddStatement = [&](size_t End) {
    if (HasContent)
      Out.emplace_back(Sql.substr(Start, End - Start));
    Start = At;
    HasContent = false;
  };
  while (At < Sql.size()) {
    size_t Begin = At;
    At = endOfUnit(Sql, At);
    if (Sql[Begin] == ';') {
      // sqlite3_complete() is false after a semicolon inside a trigger body.
      std::string Piece(Sql.substr(Start, At - Start));
      if (!HasContent || sqlite3_complete(Piece.c_str()) != 0)
        AddStatement(Begin);
    } else if (!isSpace(Sql[Begin]) && !startsComment(Sql, Begin)) {
      HasContent = true;
    }
  }
  AddStatement(Sql.size());
  return Out;
}

Command classify(std::string_view Statement) {
  // SET statements and group calls are shorter than this; other statements are classified by their
  // verb, which comes early.
  constexpr size_t TokenLimit = 2000;
  Command C;
  C.Text = std::string(Statement);
  std::vector<Token> Tokens = tokenize(Statement, TokenLimit);
  TokenReader W(Tokens);
  if (Tokens.empty())
    return C;
  if (!classifyTransaction(W, C) && !classifySettings(W, C) && !classifyGroupCall(W, C))
    classifySql(W, C);
  return C;
}

} // namespace toucan::standin
