#include "sql/tree.h"

#include "sql/functions.h"

#include "absl/container/flat_hash_map.h"
#include "absl/strings/ascii.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace toucan::sql {

namespace {

using Json = nlohmann::json;

constexpr int CursorOptionHold = 0x20; // CURSOR_OPT_HOLD in parsenodes.h of PostgreSQL

std::string toLower(std::string Text) {
  absl::AsciiStrToLower(&Text);
  return Text;
}

std::string stringMember(const Json &Node, const char *Key) {
  auto It = Node.find(Key);
  return It != Node.end() && It->is_string() ? It->get<std::string>() : "";
}

// Returns the text of a {"String":{"sval":...}} node in lower case.
std::string lowerStringNode(const Json &Node) {
  auto It = Node.find("String");
  return It == Node.end() ? "" : toLower(stringMember(*It, "sval"));
}

// The properties of a statement that a walk over its tree found.
struct Findings {
  std::set<std::string> Tables;
  bool Writes = false;
  bool SessionLock = false;
  bool TxLock = false;
};

// Walks the tree of a statement without recursion, since the tree of a long expression is deep.
// Tracks the names of common table expressions (CTEs), which hide tables of the same name. A scope
// is the index in CteNames of the innermost visible CTE name, or NoScope.
class TreeWalker {
public:
  Findings walk(const Json &Root) {
    this->Pending.push_back({&Root, NoScope});
    while (!this->Pending.empty()) {
      PendingNode S = this->Pending.back();
      this->Pending.pop_back();
      if (S.Node->is_array())
        for (const Json &Item : *S.Node)
          this->push(Item, S.Scope);
      else
        this->visitObject(*S.Node, S.Scope);
    }
    return std::move(this->Found);
  }

private:
  static constexpr int NoScope = -1;
  struct PendingNode {
    const Json *Node;
    int Scope;
  };
  struct CteName {
    std::string Name;
    int EnclosingScope;
  };

  void push(const Json &Node, int Scope) {
    if (Node.is_structured())
      this->Pending.push_back({&Node, Scope});
  }

  // Inspects the members of an object and queues their values, in the scope of the object's WITH
  // list.
  void visitObject(const Json &Node, int Scope) {
    int InnerScope = Scope;
    if (auto With = Node.find("withClause"); With != Node.end())
      InnerScope = this->visitWith(*With, Scope);
    for (const auto &[Key, Value] : Node.items()) {
      if (Key == "withClause")
        continue;
      this->inspectMember(Key, Value, InnerScope);
      this->push(Value, InnerScope);
    }
  }

  // Queues the queries of a WITH list and returns the scope with all names of the list. Each query
  // sees the names that precede it in the list, and all names with RECURSIVE.
  int visitWith(const Json &With, int Scope) {
    auto List = With.find("ctes");
    if (List == With.end())
      return Scope;
    std::vector<const Json *> Queries;
    std::vector<int> Scopes;
    for (const Json &Item : *List) {
      auto Cte = Item.find("CommonTableExpr");
      if (Cte == Item.end())
        continue;
      Queries.push_back(&*Cte);
      Scopes.push_back(Scope);
      this->CteNames.push_back({toLower(stringMember(*Cte, "ctename")), Scope});
      Scope = static_cast<int>(this->CteNames.size()) - 1;
    }
    bool Recursive = With.value("recursive", false);
    for (size_t I = 0; I < Queries.size(); ++I)
      this->push(*Queries[I], Recursive ? Scope : Scopes[I]);
    return Scope;
  }

  bool isCteName(const std::string &Name, int Scope) const {
    for (int I = Scope; I != NoScope; I = this->CteNames[I].EnclosingScope)
      if (this->CteNames[I].Name == Name)
        return true;
    return false;
  }

  // Records the tables, function calls and writes that one member of the tree stands for.
  void inspectMember(const std::string &Key, const Json &Value, int Scope) {
    if (!Value.is_structured())
      return;
    // The main table of a statement is in its "relation" member, without a RangeVar node around it.
    if (Key == "RangeVar" || (Value.is_object() && Value.contains("relname")))
      this->recordTable(Value, Scope);
    else if (Key == "FuncCall")
      this->recordFunction(Value);
    else if (Key == "InsertStmt" || Key == "UpdateStmt" || Key == "DeleteStmt" ||
             Key == "MergeStmt" || Key == "intoClause" || Key == "lockingClause")
      this->Found.Writes = true;
  }

  void recordTable(const Json &Range, int Scope) {
    std::string Name = toLower(stringMember(Range, "relname"));
    if (Range.contains("schemaname") || !this->isCteName(Name, Scope))
      this->Found.Tables.insert(std::move(Name));
  }

  // Records what a function call does. A function that is not known as read-only counts as a write.
  void recordFunction(const Json &Call) {
    auto Parts = Call.find("funcname");
    if (Parts == Call.end() || Parts->empty())
      return;
    std::string Name = lowerStringNode(Parts->back());
    std::string Schema = Parts->size() > 1 ? lowerStringNode(Parts->front()) : "";
    if (Name == "set_config") {
      (isLocalSetConfig(Call) ? this->Found.TxLock : this->Found.SessionLock) = true;
    } else if (isTransactionLockFunction(Name)) {
      this->Found.TxLock = true;
    } else if (isSessionLockFunction(Name)) {
      this->Found.SessionLock = true;
    } else if (!isReadOnlyFunction(Schema, Name)) {
      this->Found.Writes = true;
    }
  }

  // True for set_config(name, value, true), whose setting ends with the transaction.
  static bool isLocalSetConfig(const Json &Call) {
    auto Args = Call.find("args");
    if (Args == Call.end() || Args->size() != 3)
      return false;
    static const Json::json_pointer Flag("/A_Const/boolval/boolval");
    const Json &Last = Args->back();
    return Last.contains(Flag) && Last[Flag] == true;
  }

  std::vector<PendingNode> Pending;
  std::vector<CteName> CteNames;
  Findings Found;
};

// Returns the text of a constant or keyword in SET; empty for other expressions.
std::string constantText(const Json &Arg) {
  static const Json::json_pointer Text("/A_Const/sval/sval");
  static const Json::json_pointer Float("/A_Const/fval/fval");
  static const Json::json_pointer Integer("/A_Const/ival");
  static const Json::json_pointer Boolean("/A_Const/boolval");
  if (Arg.contains(Text))
    return Arg[Text].get<std::string>();
  if (Arg.contains(Float))
    return Arg[Float].get<std::string>();
  // The parser's JSON omits the values zero and false.
  if (Arg.contains(Integer))
    return std::to_string(Arg[Integer].value("ival", 0));
  if (Arg.contains(Boolean))
    return Arg[Boolean].value("boolval", false) ? "true" : "false";
  return "";
}

// Fills kind, name and value of a SET or RESET statement.
void classifySet(const Json &Body, Statement &Out) {
  std::string SetKind = stringMember(Body, "kind");
  Out.Name = toLower(stringMember(Body, "name"));
  // The parser reports SET TRANSACTION under the name "TRANSACTION", and SET SESSION
  // CHARACTERISTICS under the name "SESSION CHARACTERISTICS".
  bool Local = Body.value("is_local", false) || Out.Name == "transaction";
  Out.Kind = Local ? StatementKind::SetLocal : StatementKind::Set;
  Out.ResetsToDefault = SetKind == "VAR_SET_DEFAULT" || SetKind == "VAR_RESET";
  if (SetKind == "VAR_RESET_ALL") {
    Out.Name = "all";
    Out.ResetsToDefault = true;
  }
  for (const Json &Arg : Body.value("args", Json::array())) {
    if (!Out.Value.empty())
      Out.Value += ", ";
    Out.Value += constantText(Arg);
  }
}

// True if BEGIN or START TRANSACTION has the option READ ONLY.
bool isReadOnlyTransaction(const Json &Body) {
  static const Json::json_pointer Flag("/arg/A_Const/ival/ival");
  for (const Json &Option : Body.value("options", Json::array())) {
    auto Element = Option.find("DefElem");
    if (Element != Option.end() && stringMember(*Element, "defname") == "transaction_read_only")
      return Element->contains(Flag) && (*Element)[Flag] == 1;
  }
  return false;
}

StatementKind transactionKind(const Json &Body) {
  std::string TypeName = stringMember(Body, "kind");
  if (TypeName == "TRANS_STMT_BEGIN" || TypeName == "TRANS_STMT_START")
    return isReadOnlyTransaction(Body) ? StatementKind::BeginReadOnly : StatementKind::Begin;
  if (TypeName == "TRANS_STMT_COMMIT")
    return StatementKind::Commit;
  if (TypeName == "TRANS_STMT_ROLLBACK")
    return StatementKind::Rollback;
  if (TypeName == "TRANS_STMT_SAVEPOINT" || TypeName == "TRANS_STMT_RELEASE" ||
      TypeName == "TRANS_STMT_ROLLBACK_TO")
    return StatementKind::Savepoint;
  // PREPARE TRANSACTION ends the transaction of the connection like COMMIT: the prepared
  // transaction is no longer tied to the connection.
  return TypeName == "TRANS_STMT_PREPARE" ? StatementKind::Commit : StatementKind::Write;
}

// True if EXPLAIN has the option ANALYZE, which executes the statement.
bool explainExecutes(const Json &Body) {
  for (const Json &Option : Body.value("options", Json::array())) {
    auto Element = Option.find("DefElem");
    if (Element != Option.end() && stringMember(*Element, "defname") == "analyze")
      return true;
  }
  return false;
}

bool isTemporary(const Json &Relation) { return stringMember(Relation, "relpersistence") == "t"; }

// True if the statement creates a temporary relation that outlives the transaction.
bool leavesTemporaryRelation(const std::string &Type, const Json &Body) {
  if (Type == "CreateStmt" && Body.contains("relation"))
    return isTemporary(Body["relation"]) && stringMember(Body, "oncommit") != "ONCOMMIT_DROP";
  if (Type == "CreateTableAsStmt" || Type == "SelectStmt") {
    const char *Key = Type == "SelectStmt" ? "intoClause" : "into";
    return Body.contains(Key) && Body[Key].contains("rel") && isTemporary(Body[Key]["rel"]) &&
           stringMember(Body[Key], "onCommit") != "ONCOMMIT_DROP";
  }
  if (Type == "ViewStmt")
    return Body.contains("view") && isTemporary(Body["view"]);
  return Type == "CreateSeqStmt" && Body.contains("sequence") && isTemporary(Body["sequence"]);
}

StatementKind queryKind(const std::string &Type, const Json &Body, const Findings &Found) {
  if (Found.SessionLock)
    return StatementKind::SessionLock;
  if (Found.TxLock)
    return StatementKind::TxLock;
  if (leavesTemporaryRelation(Type, Body))
    return StatementKind::TempTable;
  bool Reads = Type == "SelectStmt" || (Type == "ExplainStmt" && !explainExecutes(Body));
  return Reads && !Found.Writes ? StatementKind::Read : StatementKind::Write;
}

// Maps statement types to their kind, where it does not depend on the content of the statement.
const absl::flat_hash_map<std::string_view, StatementKind> &fixedKinds() {
  static const auto *Kinds = new absl::flat_hash_map<std::string_view, StatementKind>({
      {"VariableShowStmt", StatementKind::Show},
      {"DiscardStmt", StatementKind::Discard},
      {"ListenStmt", StatementKind::Listen},
      {"UnlistenStmt", StatementKind::Unlisten},
      {"PrepareStmt", StatementKind::Prepare},
      {"ExecuteStmt", StatementKind::Prepare},
      {"DeallocateStmt", StatementKind::Deallocate},
      {"CopyStmt", StatementKind::Copy},
      {"LoadStmt", StatementKind::Unknown},
  });
  return *Kinds;
}

} // namespace

Statement classifyTree(const Json &Node) {
  Statement Out;
  if (!Node.is_object() || Node.empty())
    return Out;
  const std::string Type = Node.begin().key();
  const Json &Body = Node.begin().value();
  Findings Found = TreeWalker().walk(Node);
  Out.Tables.assign(Found.Tables.begin(), Found.Tables.end());
  if (Type == "VariableSetStmt") {
    classifySet(Body, Out);
  } else if (Type == "TransactionStmt") {
    Out.Kind = transactionKind(Body);
  } else if (auto It = fixedKinds().find(Type); It != fixedKinds().end()) {
    Out.Kind = It->second;
    Out.Name = toLower(stringMember(Body, "name"));
    if (Out.Kind == StatementKind::Deallocate)
      Out.Name = stringMember(Body, "name");
    if (Out.Kind == StatementKind::Discard)
      Out.Name =
          stringMember(Body, "target") == "DISCARD_ALL" ? "all" : stringMember(Body, "target");
  } else if (Type == "DeclareCursorStmt" && (Body.value("options", 0) & CursorOptionHold) != 0) {
    Out.Kind = StatementKind::CursorHold;
  } else {
    Out.Kind = queryKind(Type, Body, Found);
  }
  return Out;
}

} // namespace toucan::sql
