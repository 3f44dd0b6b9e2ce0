// Public header of the group library: watches database groups and changes their primary.
#ifndef TOUCAN_GROUP_GROUP_H
#define TOUCAN_GROUP_GROUP_H

#include "base/base.h"
#include "group/watcher.h"
#include "member/member.h"

#include <functional>
#include <memory>
#include <string>

namespace toucan::group {

struct GroupOptions {
  InstanceId Self;
  uint64_t Incarnation = 0; // with Self, the proposer name of this daemon
  std::string TargetUser;
  std::string TargetPassword;
  absl::Duration ProbeInterval = absl::Milliseconds(300);
  absl::Duration ProbeTimeout = absl::Milliseconds(300);
  int ProbesToSuspect = 3;
  uint64_t Seed = 1; // of the jitter
};

// Shell around the pure state machines: control connections by libpq in the pool loop.
class GroupService final : public Watcher {
public:
  GroupService(Loop &InLoop, GroupOptions Options, member::SendFn Send, Metrics &Counters);
  ~GroupService() override;

  // Groups, members and target states. Watches the databases that this instance owns; a database
  // that it no longer owns is watched on until its last use by the pool has ended (setInUse()).
  void onView(member::ViewPtr View);
  // probe_request and probe_reply.
  void onEnvelope(const InstanceId &From, const proto::Envelope &Message);
  // Called after each change of a group's state.
  void subscribe(std::function<void(const GroupState &)> Listener);
  // Keeps watching a database that this instance does not own (a request came for it), or ends
  // that.
  void setInUse(const DatabaseName &Database, bool InUse) override;

  void setPrimaryUse(const DatabaseName &Database, PrimaryUse Use) override;

  const GroupState *state(const DatabaseName &Database) const override;
  void confirm(const DatabaseName &Database, LogPosition At, Instant Deadline,
               std::function<void(ConfirmResult)> Then) override;
  void verify(const DatabaseName &Database, Instant Deadline,
              std::function<void(std::optional<LogPosition>)> Then) override;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace toucan::group

#endif // TOUCAN_GROUP_GROUP_H
