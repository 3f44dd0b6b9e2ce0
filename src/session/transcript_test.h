// Runs a state machine from a text of events and prints its actions, for tests.
//
// A line "> event arguments" is an event; lines after it, indented by two blanks, are the actions.
// Lines starting with "#" are comments. Events:
//   rules TEXT, owner ID|none, observer ID, rules_known 0|1     the view
//   startup NAME=VALUE ..., ssl, raw HEX           packets before the session ("@T/P": signed
//   token) query SQL, parse NAME|SQL, bind PORTAL|NAME, describe S|P NAME, execute PORTAL, close
//   S|P NAME, sync, flush, frame TYPE        messages of the caller chunk SEQUENCE FRAME ... frames
//   as TYPE or TYPE:TEXT ("E" needs a SQLSTATE) done NAME=VALUE ... reason, verdict, tx, lease,
//   at=T/P, wrote, chunks, from=ID, observer=ID (for 2 s) unsent, lost INSTANCE, written BYTES (at
//   most those that wait), wait MS, timer, cancel, drain, drain_deadline, gone
#ifndef TOUCAN_SESSION_TRANSCRIPT_TEST_H
#define TOUCAN_SESSION_TRANSCRIPT_TEST_H

#include "session/machine.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace toucan::session {

class Transcript {
public:
  Transcript();

  // Runs one event and returns its actions, one a line.
  std::vector<std::string> event(const std::string &Line);
  // Runs all events of a text and returns the text as it should read.
  std::string run(const std::string &Text);

  Shared Common;
  Instant Now = absl::UnixEpoch() + absl::Hours(1);
  std::unique_ptr<Machine> M;
  uint64_t LastRequest = 0;
  size_t Unwritten = 0; // bytes for the caller that have not been reported as written

private:
  using Arguments = std::map<std::string, std::string>;
  void setView();
  bool viewEvent(const std::string &Name, const std::string &Rest);
  bool packetEvent(const std::string &Name, const std::string &Rest, Actions &Out);
  bool poolEvent(const std::string &Name, const std::string &Rest, Actions &Out);
  bool otherEvent(const std::string &Name, const std::string &Rest, Actions &Out);
  std::string startupPacket(const std::string &Rest);
  proto::Done parseDone(const std::string &Rest) const;
  std::string print(const Action &One);
  std::string printSend(const SendAction &One);
  std::string printFrames(std::string_view Bytes);

  std::string Rules;
  std::string Owner = "b";
  std::string Observer; // a member that owns nothing
  bool RulesKnown = true;
  bool Started = false;
  Instant Timer = absl::InfiniteFuture();
};

} // namespace toucan::session

#endif // TOUCAN_SESSION_TRANSCRIPT_TEST_H
