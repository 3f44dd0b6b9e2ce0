// Lifecycle of target connections and of the leases that pin them.
#include "pool/service.h"

#include "absl/strings/str_format.h"

#include <algorithm>
#include <cassert>

namespace toucan::pool {

namespace {

constexpr std::string_view DefaultUser = "toucanrun";

std::string_view stateName(rules::TargetState S) {
  switch (S) {
  case rules::TargetState::Active:
    return "active";
  case rules::TargetState::Joining:
    return "joining";
  case rules::TargetState::Leaving:
    return "leaving";
  }
  return "";
}

std::string_view roleName(group::Role R) {
  switch (R) {
  case group::Role::Primary:
    return "primary";
  case group::Role::Replica:
    return "replica";
  case group::Role::Fenced:
    return "fenced";
  case group::Role::Unknown:
    return "unknown";
  }
  return "";
}

} // namespace

DatabaseState &PoolService::Impl::databaseOf(const Connection &C) {
  return *this->Databases.find(C.options().Database)->second;
}

void PoolService::Impl::openConnection(DatabaseState &D, const TargetId &At) {
  auto It = std::find_if(D.Group.Targets.begin(), D.Group.Targets.end(),
                         [&](const member::Target &T) { return T.Id == At; });
  if (It == D.Group.Targets.end() || !D.CurrentTerm) {
    D.Dispatch.connectAborted(At);
    return;
  }
  ConnectionId Id(this->NextConnection++);
  ConnectionOptions NewOptions{.Database = D.Group.Name,
                               .Target = At,
                               .Host = It->Host,
                               .Port = It->Port,
                               .User = this->Options.TargetUser.empty() ? std::string(DefaultUser)
                                                                        : this->Options.TargetUser,
                               .Password = this->Options.TargetPassword,
                               .InTerm = *D.CurrentTerm,
                               .ConnectDeadline =
                                   this->InLoop.now() + this->Options.ConnectTimeout};
  auto C = std::make_unique<Connection>(this->InLoop, *this, Id, std::move(NewOptions));
  C->AtPrimary = D.Primary == At;
  Connection &New = *C;
  this->Connections[Id] = std::move(C);
  New.open();
}

void PoolService::Impl::onOpened(Connection &C) {
  DatabaseState &D = this->databaseOf(C);
  this->Counters.add("pool_connections_opened_total");
  LogEvent(LogLevel::Debug, "pool_connection_opened")
      .kv("database", D.Group.Name.Value)
      .kv("target", C.options().Target.Value)
      .kv("term", C.options().InTerm.Value);
  D.Dispatch.connected(C.options().Target);
  D.Idle.push_back(&C);
  D.Dispatch.observe(C.options().Target, C.LastPosition);
  this->runDispatcher(D);
}

void PoolService::Impl::release(Connection &C, DatabaseState &D) {
  if (auto It = this->Leases.find(C.Lease); It != this->Leases.end()) {
    this->InLoop.cancel(It->second.Timer);
    this->Leases.erase(It);
  }
  C.Lease = LeaseId();
  C.IdleSince = this->InLoop.now();
  C.setReading(true);
  D.Idle.push_back(&C);
  D.Dispatch.released(C.options().Target);
}

void PoolService::Impl::onLost(Connection &C, const std::string &Cause) {
  this->closeConnection(C, false, Cause);
}

void PoolService::Impl::closeConnection(Connection &C, bool TermOver, const std::string &Cause) {
  DatabaseState &D = this->databaseOf(C);
  bool Written = C.written();
  bool Failed = !C.Opened && C.closed();
  PoolRequestId Running = C.Request;
  C.close();
  this->Counters.add(Failed ? "pool_connections_failed_total" : "pool_connections_closed_total");
  LogEvent(Failed ? LogLevel::Warn : LogLevel::Debug, "pool_connection_closed")
      .kv("database", D.Group.Name.Value)
      .kv("target", C.options().Target.Value)
      .kv("cause", Cause);
  this->removeConnection(C, D, Failed);
  if (Request *R = this->find(Running))
    this->onConnectionEnd(*R, TermOver, Written, Cause);
  this->runDispatcher(D);
}

// Removes a closed connection from all tables. It is freed later, because its handlers may be on
// the call stack.
void PoolService::Impl::removeConnection(Connection &C, DatabaseState &D, bool Failed) {
  const TargetId &At = C.options().Target;
  bool WasIdle = std::erase(D.Idle, &C) > 0;
  if (C.Opened)
    D.Dispatch.closed(At, WasIdle);
  else if (Failed)
    D.Dispatch.connectFailed(At, this->InLoop.now());
  else
    D.Dispatch.connectAborted(At);
  if (auto It = this->Leases.find(C.Lease); It != this->Leases.end()) {
    this->InLoop.cancel(It->second.Timer);
    this->Leases.erase(It);
  }
  C.Request = PoolRequestId();
  auto It = this->Connections.find(C.id());
  assert(It != this->Connections.end());
  this->Closed.push_back(std::move(It->second));
  this->Connections.erase(It);
  this->InLoop.post([Weak = std::weak_ptr(this->SelfHandle)] {
    if (auto Self = Weak.lock())
      (*Self)->Closed.clear();
  });
}

// Applies a new group state. Connections of another term and connections to unreachable replicas
// are closed; reads that run there are retried elsewhere.
void PoolService::Impl::onGroup(const group::GroupState &S) {
  DatabaseState *D = this->database(S.Database);
  if (!D)
    return;
  D->CurrentTerm = S.CurrentTerm;
  D->Primary = S.Primary;
  D->PrimaryIsDraining = S.PrimaryIsDraining;
  D->RedirectTo = S.RedirectTo;
  D->Dispatch.setState(&S);
  std::vector<Connection *> OfOldTerm;
  std::vector<Connection *> Unreachable;
  for (auto &[Id, C] : this->Connections) {
    if (C->options().Database != S.Database)
      continue;
    const TargetId &At = C->options().Target;
    bool Reachable = std::none_of(S.Servers.begin(), S.Servers.end(), [&](const auto &Server) {
      return Server.Id == At && !Server.Reachable;
    });
    if (C->options().InTerm != S.CurrentTerm)
      OfOldTerm.push_back(C.get());
    else if (!C->AtPrimary && C->Opened && !Reachable)
      Unreachable.push_back(C.get());
  }
  bool WasDispatching = D->Dispatching;
  D->Dispatching = true; // run the dispatcher once, after all connections are closed
  for (Connection *C : OfOldTerm)
    this->closeConnection(*C, true, "the term of the group changed");
  for (Connection *C : Unreachable)
    this->closeConnection(*C, false, "the replica cannot be reached");
  D->Dispatching = WasDispatching;
  if (!OfOldTerm.empty())
    LogEvent(LogLevel::Info, "pool_term_changed")
        .kv("database", S.Database.Value)
        .kv("term", S.CurrentTerm.Value)
        .kv("connections_closed", OfOldTerm.size());
  this->refuseVerifying(*D);
  this->runDispatcher(*D);
}

// Pins a connection to the transaction that a request left open.
void PoolService::Impl::pinConnection(Request &R, Connection &C) {
  if (C.Lease.Value == 0) {
    C.Lease = LeaseId(this->NextLease++);
    this->Leases[C.Lease] = {
        .Id = C.Lease, .Holder = R.From, .Session = R.Exec.session_id(), .Conn = &C};
  }
  Lease &L = this->Leases.find(C.Lease)->second;
  L.Status = R.Reply->status();
  R.Lease = L.Id.Value;
  C.setReading(true);
  this->startLeaseTimer(L);
}

// Marks a lease as idle and starts its idle-in-transaction deadline.
void PoolService::Impl::startLeaseTimer(Lease &L) {
  L.Conn->Request = PoolRequestId();
  this->InLoop.cancel(L.Timer);
  L.Timer =
      this->InLoop.at(this->InLoop.now() + this->Options.IdleInTransaction, [this, Id = L.Id] {
        this->Counters.add("pool_leases_timed_out_total");
        this->endLease(Id);
      });
}

// Ends a lease by closing its connection, which rolls the transaction back.
void PoolService::Impl::endLease(LeaseId Id) {
  auto It = this->Leases.find(Id);
  if (It == this->Leases.end())
    return;
  LogEvent(LogLevel::Info, "pool_lease_ended")
      .kv("lease", Id.Value)
      .kv("holder", It->second.Holder.Value)
      .kv("session", It->second.Session);
  this->closeConnection(*It->second.Conn, false, "the transaction was ended");
}

void PoolService::Impl::onRelease(const InstanceId &From, LeaseId Id) {
  auto It = this->Leases.find(Id);
  if (It != this->Leases.end() && It->second.Holder == From)
    this->endLease(Id);
}

proto::TargetsReply PoolService::Impl::targets() const {
  proto::TargetsReply Out;
  Instant Now = this->InLoop.now();
  for (const auto &[Name, D] : this->Databases) {
    const group::GroupState *S = this->Groups.state(Name);
    std::optional<InstanceId> Owner = this->View ? this->View->ownerOf(Name) : std::nullopt;
    for (const member::Target &T : D->Group.Targets) {
      proto::TargetStatus &Row = *Out.add_targets();
      Row.set_database(Name.Value);
      Row.set_target(T.Id.Value);
      Row.set_address(absl::StrFormat("%s:%d", T.Host, T.Port));
      Row.set_owner(Owner ? Owner->Value : "");
      Row.set_state(std::string(stateName(T.Status)));
      TargetLoad Load = D->Dispatch.load(T.Id);
      Row.set_connections(Load.Connections);
      Row.set_executing(Load.Executing);
      bool IsPrimary = S && S->Primary == T.Id;
      // Queued requests that are not assigned to a target are reported for the primary.
      Row.set_queued(IsPrimary ? static_cast<uint32_t>(D->Dispatch.queued()) : 0);
      const group::ServerState *Server = nullptr;
      for (size_t I = 0; S && I < S->Servers.size(); ++I)
        if (S->Servers[I].Id == T.Id)
          Server = &S->Servers[I];
      if (!Server)
        continue;
      Row.set_role(std::string(roleName(Server->CurrentRole)));
      Row.set_term(Server->Accepted.Value);
      Row.set_received(Server->Received);
      Row.set_applied(Server->Applied);
      if (Server->CaughtUpAt != absl::InfinitePast())
        Row.set_age_us(static_cast<uint64_t>(absl::ToInt64Microseconds(Now - Server->CaughtUpAt)));
      if (!Server->Reachable)
        Row.set_state("unreachable");
    }
  }
  return Out;
}

} // namespace toucan::pool
