// Runs the session state machine on a text of events and prints the resulting actions, for tests.
//
// A line "> event arguments" is an event. The lines after it, indented by two blanks, are its
// actions. Lines that start with "#" are comments.
//
// View:
// - rules TEXT, owner ID|none, observer ID, rules_known 0|1
//
// Packets before the session ("@T/P" in a value stands for a signed token):
// - startup NAME=VALUE ..., ssl, raw HEX
//
// Messages of the caller:
// - query SQL, parse NAME|SQL, bind PORTAL|NAME, describe S|P NAME, execute PORTAL
// - close S|P NAME, sync, flush, frame TYPE
//
// Messages of the pool:
// - chunk SEQUENCE FRAME ... with frames as TYPE or TYPE:TEXT ("E" needs a SQLSTATE)
// - done NAME=VALUE ... with reason, verdict, tx, lease, at=T/P, wrote, chunks, from=ID,
//   observer=ID (valid for 2 s)
// - unsent, lost INSTANCE
//
// Other:
// - written BYTES (at most the bytes not yet written), wait MS, timer, cancel, drain
// - drain_deadline, gone
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

  // Runs one event and returns its actions, one per line.
  std::vector<std::string> event(const std::string &Line);
  // Runs all events of a transcript and returns it with the actual actions.
  std::string run(const std::string &Text);

  SharedState Common;
  Instant Now = absl::UnixEpoch() + absl::Hours(1);
  std::unique_ptr<Machine> M;
  uint64_t LastRequest = 0;
  size_t Unwritten = 0; // bytes for the caller not yet reported as written

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
  std::string Observer; // a suspect member, which owns no database; empty: none
  bool RulesKnown = true;
  bool Started = false;
  Instant Timer = absl::InfiniteFuture();
};

} // namespace toucan::session

#endif // TOUCAN_SESSION_TRANSCRIPT_TEST_H
