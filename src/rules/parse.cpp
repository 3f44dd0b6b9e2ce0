#include "rules/rules.h"

#include "absl/strings/str_format.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

namespace toucan::rules {

namespace {

constexpr size_t MaxLineCharacters = 1000;
constexpr size_t MaxRules = 10'000;
constexpr size_t MaxNameCharacters = 63; // limit of an identifier in PostgreSQL
constexpr absl::Duration MinMaxAge = absl::Milliseconds(1);
constexpr absl::Duration MaxMaxAge = absl::Hours(24);

enum class RuleKind : uint8_t { Read, Once, Class, Target };
enum class Key : uint8_t { Database, Table, Fingerprint, MaxAge, Class, Target, State };
constexpr size_t KeyCount = 7;
constexpr std::array<std::string_view, KeyCount> KeyNames = {
    "database", "table", "fingerprint", "max_age", "class", "target", "state"};

// The syntax of one kind of rule. All of its keys are required. A rule with a selector also takes
// either table= or fingerprint=.
struct RuleSyntax {
  std::string_view Word;
  RuleKind Kind;
  bool HasSelector;
  std::vector<Key> Keys;
};

const std::array<RuleSyntax, 4> &ruleSyntaxes() {
  static const std::array<RuleSyntax, 4> Syntaxes = {{
      {"read", RuleKind::Read, true, {Key::Database, Key::MaxAge}},
      {"once", RuleKind::Once, true, {Key::Database}},
      {"class", RuleKind::Class, true, {Key::Database, Key::Class}},
      {"target", RuleKind::Target, false, {Key::Database, Key::Target, Key::State}},
  }};
  return Syntaxes;
}

struct Word {
  size_t Column = 0; // counted from 1; 0: the word is absent
  std::string_view Text;
};

std::string_view keyName(Key K) { return KeyNames[static_cast<size_t>(K)]; }

bool acceptsKey(const RuleSyntax &Syntax, Key K) {
  bool IsSelectorKey = Syntax.HasSelector && (K == Key::Table || K == Key::Fingerprint);
  return IsSelectorKey || std::find(Syntax.Keys.begin(), Syntax.Keys.end(), K) != Syntax.Keys.end();
}

// Lists the keys of a rule for error messages, such as "database=, max_age=, and table= or
// fingerprint=".
std::string listKeys(const RuleSyntax &Syntax) {
  std::string Out;
  for (Key K : Syntax.Keys)
    absl::StrAppendFormat(&Out, "%s%s=", Out.empty() ? "" : ", ", keyName(K));
  return Syntax.HasSelector ? absl::StrFormat("%s, and table= or fingerprint=", Out) : Out;
}

bool isBlank(char C) { return C == ' ' || C == '\t' || C == '\r'; }

// Returns the length in bytes of the UTF-8 character at the start of Text; 0 if it is malformed.
size_t characterLength(std::string_view Text) {
  auto Byte = [&](size_t I) { return static_cast<unsigned char>(Text[I]); };
  unsigned char First = Byte(0);
  size_t Length = First < 0x80 ? 1 : First < 0xC2 ? 0 : First < 0xE0 ? 2 : First < 0xF0 ? 3 : 4;
  if (Length == 0 || First > 0xF4 || Text.size() < Length)
    return 0;
  for (size_t I = 1; I < Length; ++I)
    if ((Byte(I) & 0xC0) != 0x80)
      return 0;
  // Rejects overlong forms, surrogates and code points over U+10FFFF.
  bool IsInvalid = (First == 0xE0 && Byte(1) < 0xA0) || (First == 0xED && Byte(1) > 0x9F) ||
                   (First == 0xF0 && Byte(1) < 0x90) || (First == 0xF4 && Byte(1) > 0x8F);
  return IsInvalid ? 0 : Length;
}

// Parses a duration such as 500ms, 30s, 5m or 1h. Returns nothing for any other form, or if the
// number is larger than 24 h in milliseconds.
std::optional<absl::Duration> parseDuration(std::string_view Text) {
  int64_t Number = 0;
  auto [End, Error] = std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Error != std::errc() || Number < 0 || Number > absl::ToInt64Milliseconds(MaxMaxAge))
    return std::nullopt;
  std::string_view Unit = Text.substr(static_cast<size_t>(End - Text.data()));
  if (Unit == "ms")
    return absl::Milliseconds(Number);
  if (Unit == "s")
    return absl::Seconds(Number);
  if (Unit == "m")
    return absl::Minutes(Number);
  if (Unit == "h")
    return absl::Hours(Number);
  return std::nullopt;
}

// Parses 0x and 1 to 16 hexadecimal digits. Rejects zero, which is the fingerprint of a text that
// is not a single statement.
std::optional<uint64_t> parseFingerprint(std::string_view Text) {
  if (!Text.starts_with("0x"))
    return std::nullopt;
  uint64_t Number = 0;
  auto [End, Error] = std::from_chars(Text.data() + 2, Text.data() + Text.size(), Number, 16);
  if (Error != std::errc() || End != Text.data() + Text.size() || Number == 0)
    return std::nullopt;
  return Number;
}

bool isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxNameCharacters &&
         std::all_of(Text.begin(), Text.end(),
                     [](char C) { return C > ' ' && C < 0x7F && C != '=' && C != '"'; });
}

bool isTableName(std::string_view Text) {
  return isName(Text) && std::none_of(Text.begin(), Text.end(),
                                      [](char C) { return C == '.' || (C >= 'A' && C <= 'Z'); });
}

} // namespace

// Parses one rules file line by line.
class Parser {
public:
  Parser(std::string_view Text, std::string_view FileName) : Text(Text), FileName(FileName) {}

  Result<RuleSet> parse() {
    this->Out.Text = std::string(this->Text);
    std::string_view Rest = this->Text;
    while (!Rest.empty()) {
      size_t End = std::min(Rest.find('\n'), Rest.size());
      ++this->LineNumber;
      this->Line = Rest.substr(0, End);
      BOOST_LEAF_CHECK(this->checkCharacters());
      BOOST_LEAF_CHECK(this->parseLine());
      Rest.remove_prefix(std::min(End + 1, Rest.size()));
    }
    return std::move(this->Out);
  }

private:
  boost::leaf::error_id errorAt(size_t Column, std::string_view Cause) const {
    return failure(
        absl::StrFormat("%s:%d:%d: %s", this->FileName, this->LineNumber, Column, Cause));
  }

  // Refuses lines that are too long, and characters that cannot be stored or displayed on a
  // terminal.
  Result<void> checkCharacters() const {
    size_t Column = 1;
    for (size_t I = 0; I < this->Line.size(); ++Column) {
      if (Column > MaxLineCharacters)
        return this->errorAt(Column,
                             absl::StrFormat("line longer than %d characters", MaxLineCharacters));
      size_t Length = characterLength(this->Line.substr(I));
      auto Byte = static_cast<unsigned char>(this->Line[I]);
      if (Length == 0)
        return this->errorAt(Column, absl::StrFormat("byte 0x%02x is not valid UTF-8", Byte));
      if ((Byte < ' ' && !isBlank(this->Line[I])) || Byte == 0x7F)
        return this->errorAt(Column,
                             absl::StrFormat("control character 0x%02x is not allowed", Byte));
      I += Length;
    }
    return {};
  }

  // Consumes the next word of the line. Its text is empty at the end of the line or at a comment.
  Word nextWord() {
    while (this->Offset < this->Line.size() && isBlank(this->Line[this->Offset]))
      ++this->Offset;
    size_t Start = this->Offset;
    while (this->Offset < this->Line.size() && !isBlank(this->Line[this->Offset]) &&
           this->Line[this->Offset] != '#')
      ++this->Offset;
    return {.Column = Start + 1, .Text = this->Line.substr(Start, this->Offset - Start)};
  }

  // Parses one line. A line that is empty or holds only a comment adds no rule.
  Result<void> parseLine() {
    this->Offset = 0;
    this->RuleWord = this->nextWord();
    if (this->RuleWord.Text.empty())
      return {};
    const auto &Syntaxes = ruleSyntaxes();
    const auto *Syntax = std::find_if(Syntaxes.begin(), Syntaxes.end(), [&](const RuleSyntax &F) {
      return F.Word == this->RuleWord.Text;
    });
    if (Syntax == Syntaxes.end())
      return this->errorAt(this->RuleWord.Column,
                           absl::StrFormat("unknown rule \"%s\"; known: read, once, class, target",
                                           this->RuleWord.Text));
    if (++this->RuleCount > MaxRules)
      return this->errorAt(this->RuleWord.Column, absl::StrFormat("more than %d rules", MaxRules));
    this->Values.fill({});
    size_t End = this->Offset;
    for (Word W = this->nextWord(); !W.Text.empty(); W = this->nextWord()) {
      BOOST_LEAF_CHECK(this->parsePair(*Syntax, W));
      End = this->Offset;
    }
    BOOST_LEAF_CHECK(this->checkKeys(*Syntax));
    BOOST_LEAF_CHECK(this->checkComment(End));
    return this->addRule(Syntax->Kind);
  }

  // Parses a key=value word and stores the value.
  Result<void> parsePair(const RuleSyntax &Syntax, const Word &W) {
    size_t Equals = W.Text.find('=');
    if (Equals == std::string_view::npos)
      return this->errorAt(W.Column, absl::StrFormat("\"%s\" is neither key=value nor a comment; a "
                                                     "comment starts with #",
                                                     W.Text));
    std::string_view Name = W.Text.substr(0, Equals);
    const auto *It = std::find(KeyNames.begin(), KeyNames.end(), Name);
    Key K = static_cast<Key>(It - KeyNames.begin());
    if (It == KeyNames.end() || !acceptsKey(Syntax, K))
      return this->errorAt(W.Column, absl::StrFormat("unknown key \"%s\" of rule %s; known: %s",
                                                     Name, Syntax.Word, listKeys(Syntax)));
    Word &Value = this->Values[static_cast<size_t>(K)];
    if (Value.Column != 0)
      return this->errorAt(W.Column, absl::StrFormat("repeated key \"%s\"", Name));
    Value = {.Column = W.Column, .Text = W.Text.substr(Equals + 1)};
    return this->checkValue(K, Value);
  }

  Result<void> checkValue(Key K, const Word &Value) {
    std::string_view Allowed;
    switch (K) {
    case Key::Database:
    case Key::Target:
      if (!isName(Value.Text))
        Allowed = "1 to 63 printable ASCII characters without quote and =";
      break;
    case Key::Table:
      if (!isTableName(Value.Text))
        Allowed = "1 to 63 printable ASCII characters, lower case, without schema";
      break;
    case Key::Fingerprint:
      if (!parseFingerprint(Value.Text))
        Allowed = "0x and 1 to 16 hexadecimal digits, not zero";
      break;
    case Key::MaxAge: {
      std::optional<absl::Duration> Age = parseDuration(Value.Text);
      if (!Age || *Age < MinMaxAge || *Age > MaxMaxAge)
        Allowed = "1ms to 24h, as a whole number with ms, s, m or h";
      break;
    }
    case Key::Class:
      if (Value.Text != "short" && Value.Text != "long")
        Allowed = "short, long";
      break;
    case Key::State:
      if (Value.Text != "active" && Value.Text != "joining" && Value.Text != "leaving")
        Allowed = "active, joining, leaving";
      break;
    }
    if (Allowed.empty())
      return {};
    return this->errorAt(Value.Column,
                         absl::StrFormat("value \"%s\" of %s is not allowed; allowed: %s",
                                         Value.Text, keyName(K), Allowed));
  }

  // Checks that all required keys are present, with exactly one of table= and fingerprint= if the
  // rule has a selector.
  Result<void> checkKeys(const RuleSyntax &Syntax) const {
    for (Key K : Syntax.Keys)
      if (!this->hasKey(K))
        return this->errorAt(this->RuleWord.Column, absl::StrFormat("missing key \"%s\" of rule %s",
                                                                    keyName(K), Syntax.Word));
    if (!Syntax.HasSelector)
      return {};
    if (!this->hasKey(Key::Table) && !this->hasKey(Key::Fingerprint))
      return this->errorAt(
          this->RuleWord.Column,
          absl::StrFormat("missing key \"table\" or \"fingerprint\" of rule %s", Syntax.Word));
    if (this->hasKey(Key::Table) && this->hasKey(Key::Fingerprint))
      return this->errorAt(
          std::max(this->value(Key::Table).Column, this->value(Key::Fingerprint).Column),
          "table= and fingerprint= exclude each other");
    return {};
  }

  // Checks that the line has a comment. End is the offset after the last word, where the error
  // points if the comment is missing.
  Result<void> checkComment(size_t End) const {
    if (this->Offset >= this->Line.size())
      return this->errorAt(
          End + 1, "missing comment; it must name who asked for the rule, as in \"# fleet\"");
    std::string_view Comment = this->Line.substr(this->Offset + 1);
    if (std::all_of(Comment.begin(), Comment.end(), isBlank))
      return this->errorAt(this->Offset + 1, "empty comment; it must name who asked for the rule");
    return {};
  }

  Result<void> addRule(RuleKind Kind) {
    RuleSet::DatabaseRules &Rules =
        this->Out.Databases[std::string(this->value(Key::Database).Text)];
    switch (Kind) {
    case RuleKind::Read:
      return this->addWithSelector(Rules.MaxAges, *parseDuration(this->value(Key::MaxAge).Text));
    case RuleKind::Once:
      return this->addWithSelector(Rules.AtMostOnce, true);
    case RuleKind::Class:
      return this->addWithSelector(Rules.WorkClasses, this->value(Key::Class).Text == "long"
                                                          ? WorkClass::Long
                                                          : WorkClass::Short);
    case RuleKind::Target: {
      std::string_view State = this->value(Key::State).Text;
      return this->addUnique(Rules.TargetStates, std::string(this->value(Key::Target).Text),
                             State == "joining"   ? TargetState::Joining
                             : State == "leaving" ? TargetState::Leaving
                                                  : TargetState::Active);
    }
    }
    return {};
  }

  template <class T> Result<void> addWithSelector(RuleSet::WithSelector<T> &Into, T Value) {
    if (this->hasKey(Key::Table))
      return this->addUnique(Into.ByTable, std::string(this->value(Key::Table).Text), Value);
    return this->addUnique(Into.ByFingerprint,
                           *parseFingerprint(this->value(Key::Fingerprint).Text), Value);
  }

  // Adds a rule. Refuses a second rule of the same kind for the same table, fingerprint or target,
  // since the two could contradict each other.
  template <class Map, class T>
  Result<void> addUnique(Map &Into, typename Map::key_type Name, T Value) {
    if (!Into.emplace(std::move(Name), Value).second)
      return this->errorAt(
          this->RuleWord.Column,
          absl::StrFormat("repeated rule: an earlier %s rule has the same table, fingerprint "
                          "or target",
                          this->RuleWord.Text));
    return {};
  }

  const Word &value(Key K) const { return this->Values[static_cast<size_t>(K)]; }
  bool hasKey(Key K) const { return this->value(K).Column != 0; }

  std::string_view Text, FileName, Line;
  size_t LineNumber = 0;
  size_t Offset = 0; // offset in Line after the last word
  size_t RuleCount = 0;
  Word RuleWord;
  std::array<Word, KeyCount> Values;
  RuleSet Out;
};

Result<RuleSet> RuleSet::parse(std::string_view Text, std::string_view FileName) {
  return Parser(Text, FileName).parse();
}

} // namespace toucan::rules
