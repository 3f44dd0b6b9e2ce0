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
size_t skipUnit(std::string_view Sql, size_t At) {
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

bool isComment(std::string_view Sql, size_t At) {
  return Sql.substr(At, 2) == "--" || Sql.substr(At, 2) == "/*";
}

bool isSpace(char C) { return std::isspace(static_cast<unsigned char>(C)) != 0; }

bool isWord(char C) {
  return std::isalnum(static_cast<unsigned char>(C)) != 0 || C == '_' || C == '.';
}

std::vector<Token> tokens(std::string_view Sql, size_t Limit) {
  std::vector<Token> Out;
  size_t At = 0;
  while (At < Sql.size() && Out.size() < Limit) {
    size_t End = skipUnit(Sql, At);
    if (isSpace(Sql[At]) || isComment(Sql, At)) {
      // White space and comments are not tokens.
    } else if (Sql[At] == '\'' || Sql[At] == '"') {
      size_t Length = End - At >= 2 ? End - At - 2 : 0;
      Out.push_back({.Text = std::string(Sql.substr(At + 1, Length)), .Quoted = true});
    } else {
      while (isWord(Sql[At]) && End < Sql.size() && isWord(Sql[End]))
        ++End;
      Out.push_back({.Text = std::string(Sql.substr(At, End - At))});
    }
    At = End;
  }
  return Out;
}

class Words {
public:
  explicit Words(const std::vector<Token> &All) : All(All) {}
  // Lower-case text of token I; empty if it is quoted or I is out of range.
  std::string at(size_t I) const {
    if (I >= this->All.size() || this->All[I].Quoted)
      return "";
    return absl::AsciiStrToLower(this->All[I].Text);
  }
  std::string text(size_t I) const { return I < this->All.size() ? this->All[I].Text : ""; }
  size_t size() const { return this->All.size(); }
  bool has(std::string_view First, std::string_view Second) const {
    for (size_t I = 0; I + 1 < this->All.size(); ++I)
      if (this->at(I) == First && this->at(I + 1) == Second)
        return true;
    return false;
  }

private:
  const std::vector<Token> &All;
};

// Index after the optional keyword WORK or TRANSACTION at index At, as in ROLLBACK WORK.
size_t afterNoise(const Words &W, size_t At) {
  return W.at(At) == "work" || W.at(At) == "transaction" ? At + 1 : At;
}

bool classifyTransaction(const Words &W, Command &C) {
  std::string First = W.at(0);
  if (First == "begin" || (First == "start" && W.at(1) == "transaction")) {
    C.Kind = CommandKind::Begin;
    C.Tag = First == "begin" ? "BEGIN" : "START TRANSACTION";
    C.ReadOnly = W.has("read", "only");
  } else if (First == "commit" || First == "end") {
    C.Kind = CommandKind::Commit;
    C.Tag = "COMMIT";
  } else if (First == "rollback" || First == "abort") {
    size_t At = afterNoise(W, 1);
    bool ToSavepoint = W.at(At) == "to";
    C.Kind = ToSavepoint ? CommandKind::RollbackTo : CommandKind::Rollback;
    C.Tag = "ROLLBACK";
    if (ToSavepoint)
      C.Name = W.text(W.at(At + 1) == "savepoint" ? At + 2 : At + 1);
  } else if (First == "savepoint") {
    C.Kind = CommandKind::Savepoint;
    C.Tag = "SAVEPOINT";
    C.Name = W.text(1);
  } else if (First == "release") {
    C.Kind = CommandKind::Release;
    C.Tag = "RELEASE";
    C.Name = W.text(W.at(1) == "savepoint" ? 2 : 1);
  } else {
    return false;
  }
  return true;
}

void classifySet(const Words &W, Command &C) {
  size_t At = W.at(1) == "session" || W.at(1) == "local" ? 2 : 1;
  C.Kind = CommandKind::Set;
  C.Local = W.at(1) == "local";
  C.Tag = "SET";
  C.Name = W.at(At);
  if (C.Name == "time" && W.at(At + 1) == "zone") {
    C.Name = "timezone";
    At += 2;
  } else if (C.Name == "transaction" || C.Name == "characteristics") {
    C.ReadOnly = W.has("read", "only");
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

bool classifySettings(const Words &W, Command &C) {
  std::string First = W.at(0);
  if (First == "set") {
    classifySet(W, C);
  } else if (First == "show") {
    C.Kind = CommandKind::Show;
    C.Tag = "SHOW";
    C.Name = W.at(1) == "time" ? "timezone" : W.at(1);
    if (C.Name == "transaction")
      C.Name = "transaction_isolation";
  } else if (First == "reset") {
    C.Kind = CommandKind::Reset;
    C.Tag = "RESET";
    C.Name = W.at(1);
  } else if (First == "discard") {
    C.Kind = CommandKind::Discard;
    C.Tag = "DISCARD ALL";
  } else {
    return false;
  }
  return true;
}

bool classifyGroupCall(const Words &W, Command &C) {
  if (W.at(0) != "select" || W.at(1) != "*" || W.at(2) != "from" || W.at(4) != "(" ||
      W.at(3).substr(0, 6) != "group_")
    return false;
  C.Kind = CommandKind::GroupCall;
  C.Tag = "SELECT";
  C.Name = W.at(3);
  for (size_t At = 5; At < W.size() && W.at(At) != ")"; ++At)
    if (W.at(At) != ",")
      C.Arguments.push_back(W.text(At));
  return true;
}

constexpr std::array RefusedWords = {
    "pragma",   "attach", "detach",  "vacuum",  "reindex",    "analyze", "copy",  "listen",
    "unlisten", "notify", "prepare", "execute", "deallocate", "declare", "fetch", "lock"};

// Verb of the statement that follows the WITH clause: the first verb outside of parentheses, SELECT
// if there is none.
std::string mainVerb(const Words &W) {
  int Depth = 0;
  for (size_t I = 1; I < W.size(); ++I) {
    std::string Word = W.at(I);
    Depth += Word == "(" ? 1 : 0;
    Depth -= Word == ")" ? 1 : 0;
    if (Depth == 0 && (Word == "insert" || Word == "update" || Word == "delete" ||
                       Word == "replace" || Word == "select" || Word == "values"))
      return Word;
  }
  return "select";
}

void classifySql(const Words &W, Command &C) {
  std::string Verb = W.at(0);
  for (const char *Word : RefusedWords)
    if (Verb == Word) {
      C.Kind = CommandKind::Refused;
      C.Tag = absl::AsciiStrToUpper(Verb);
      return;
    }
  C.Kind = CommandKind::Sql;
  if (Verb == "with")
    Verb = mainVerb(W);
  if (Verb == "insert" || Verb == "replace")
    C.Tag = "INSERT 0";
  else if (Verb == "update" || Verb == "delete")
    C.Tag = absl::AsciiStrToUpper(Verb);
  else if (Verb == "select" || Verb == "values")
    C.Tag = "SELECT";
  C.Counted = !C.Tag.empty();
  if (C.Counted)
    return;
  C.Tag = absl::AsciiStrToUpper(Verb);
  if (Verb != "create" && Verb != "drop" && Verb != "alter")
    return;
  if (W.at(1) == "temp" || W.at(1) == "temporary") {
    C.Kind = CommandKind::Refused;
    C.Tag = "CREATE TEMPORARY";
    return;
  }
  size_t At = 1;
  while (W.at(At) == "unique")
    ++At;
  C.Tag += ' ' + absl::AsciiStrToUpper(W.at(At));
}

} // namespace

std::vector<std::string> splitStatements(std::string_view Sql) {
  std::vector<std::string> Out;
  size_t Start = 0;
  size_t At = 0;
  bool Content = false;
  auto Finish = [&](size_t End) {
    if (Content)
      Out.emplace_back(Sql.substr(Start, End - Start));
    Start = At;
    Content = false;
  };
  while (At < Sql.size()) {
    size_t Begin = At;
    At = skipUnit(Sql, At);
    if (Sql[Begin] == ';') {
      // sqlite3_complete() is false after a semicolon inside a trigger body.
      std::string Piece(Sql.substr(Start, At - Start));
      if (!Content || sqlite3_complete(Piece.c_str()) != 0)
        Finish(Begin);
    } else if (!isSpace(Sql[Begin]) && !isComment(Sql, Begin)) {
      Content = true;
    }
  }
  Finish(Sql.size());
  return Out;
}

Command classify(std::string_view Statement) {
  // SET statements and group calls are shorter than this; other statements are classified by their
  // verb, which comes early.
  constexpr size_t TokenLimit = 2000;
  Command C;
  C.Text = std::string(Statement);
  std::vector<Token> All = tokens(Statement, TokenLimit);
  Words W(All);
  if (All.empty())
    return C;
  if (!classifyTransaction(W, C) && !classifySettings(W, C) && !classifyGroupCall(W, C))
    classifySql(W, C);
  return C;
}

} // namespace toucan::standin
