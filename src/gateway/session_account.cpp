// The account of a session: the key that its caller gave, and what follows when a configuration
// moves or withdraws that key.
#include "gateway/session.h"

#include <utility>

namespace toucan::gateway {

void Session::dropKeyText(CallerMessage &Message, size_t Begin) {
  if (Message.Key.empty())
    return;
  if (!this->Started)
    this->Key = accounts::KeyDigest::of(Message.Key);
  accounts::wipe(Message.Key.data(), Message.Key.size());
  Message.Key.clear();
  accounts::wipe(this->Input.data() + Begin, this->Consumed - Begin);
}

std::optional<AccountName> Session::accountIn(const catalog::Configuration &Config) const {
  if (const accounts::Account *Found = this->Key ? Config.Accounts.byKey(*this->Key) : nullptr)
    return Found->Name;
  // A route that is gone exempts nobody, because a transaction may still be open on it.
  const catalog::Route *R = Config.route(DatabaseName(this->Database));
  bool Required = R ? R->KeyRequired : !Config.Accounts.empty();
  return Required ? std::nullopt : std::optional(defaultAccount());
}

void Session::updateAccount() {
  if (!this->Started || this->Closed || this->KeyWithdrawn)
    return;
  std::optional<AccountName> New = this->accountIn(*this->Deps.Host.configuration());
  if (New && *New == this->Account)
    return;
  if (New) {
    if (this->Deps.Log.allows(this->Deps.InLoop.now()))
      LogEvent(LogLevel::Info, "session_account_changed")
          .kv("session", this->Id.Value)
          .kv("former_account", this->Account.Value)
          .kv("account", New->Value);
    this->Deps.Counters.add("sessions_account_changed");
    this->Account = *New;
    this->Tx.AccountChanged = this->Tx.State == TxState::Begun || this->Tx.State == TxState::Open;
  } else {
    this->KeyWithdrawn = true;
  }
  // An operation that waits for its admission has not been counted yet.
  if (this->Op && this->Op->Admission) {
    this->Deps.Limits.cancel(this->Op->Account, *this->Op->Admission);
    this->Op->Admission.reset();
    this->Op->AdmitAgain = true;
  }
  if (!this->Op || !this->Op->Queued || !(this->KeyWithdrawn || this->Tx.AccountChanged))
    return;
  if (ServiceRouter *Router = this->Deps.Host.router(this->Op->Route.Service))
    Router->cancel(*this->Op->Queued);
  this->Op->Queued.reset();
}

void Session::onConfiguration() {
  if (this->AwaitsConfiguration) {
    this->AwaitsConfiguration = false;
    this->onStart(this->Database);
    this->processMessages();
    return;
  }
  if (this->Closed)
    return;
  if (!(this->KeyWithdrawn || this->Tx.AccountChanged)) {
    if (this->Op && std::exchange(this->Op->AdmitAgain, false)) {
      this->Op->Account = this->Account;
      this->admit();
    }
    return;
  }
  if (this->Op) {
    // The first statement of a transaction is sent only after the target has opened it.
    bool Sent = this->Op->AttemptsInFlight > 0 && this->Tx.State != TxState::Begun;
    if (!Sent)
      this->finishOnAccountChange();
  } else if (this->KeyWithdrawn) {
    this->endWithKeyWithdrawn();
  } else {
    this->Deps.Counters.add("transactions_ended_account_changed");
    this->leaveTransaction(TxState::Failed);
    this->Tx.FailureUntold = true;
  }
}

// A statement of a transaction that is rolled back leaves no effect, also if it ran.
void Session::finishOnAccountChange() {
  if (this->Op->Kind == OpKind::Commit)
    this->leaveTransaction(TxState::None);
  if (!this->KeyWithdrawn)
    this->finishError(ErrorCode::Aborted, "the transaction was rolled back", "account_changed");
  else if (this->Op->MayHaveRun)
    this->finishNotServed("key_withdrawn");
  else
    this->finishError(ErrorCode::UnknownKey, "", "key_withdrawn");
}

void Session::endWithKeyWithdrawn() {
  this->Deps.Counters.add("sessions_ended_key_withdrawn");
  if (this->Deps.Log.allows(this->Deps.InLoop.now()))
    LogEvent(LogLevel::Info, "session_ended")
        .kv("session", this->Id.Value)
        .kv("database", this->Database)
        .kv("account", this->Account.Value)
        .kv("cause", "key_withdrawn")
        .kv("configuration", this->Deps.Host.configuration()->Version.Value);
  this->refuseAndClose({.Code = ErrorCode::UnknownKey, .Text = ""});
}

} // namespace toucan::gateway
