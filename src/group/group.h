// Public header of the group library, which monitors database groups and changes their primary.
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
  uint64_t Incarnation = 0; // forms the proposer name of this daemon, together with Self
  std::string TargetUser;
  std::string TargetPassword;
  absl::Duration ProbeInterval = absl::Milliseconds(300);
  absl::Duration ProbeTimeout = absl::Milliseconds(300);
  int ProbesToSuspect = 3;
  uint64_t Seed = 1; // seed of the random jitter
};

// Runs one Monitor state machine for each group. Does its I/O, such as the control connections over
// libpq, in the pool loop.
class GroupService final : public Watcher {
public:
  GroupService(Loop &InLoop, GroupOptions Options, member::SendFn Send, Metrics &Counters);
  ~GroupService() override;

  // Takes over the groups, members and target states of a new view. Watches the databases that this
  // instance owns. When it loses a database, it watches that database until the pool no longer uses
  // it, see setInUse().
  void onView(member::ViewPtr View);
  // Handles probe_request and probe_reply messages of other instances.
  void onEnvelope(const InstanceId &From, const proto::Envelope &Message);
  // Registers a listener that is called after each change of a group's state.
  void subscribe(std::function<void(const GroupState &)> Listener);
  // With InUse set, continues to watch a database that this instance does not own, because a
  // request for it has arrived. Otherwise stops watching it.
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
