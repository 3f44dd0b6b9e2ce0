// TCP relay between two processes of a test, which can cut its connections or let them go silent.
#ifndef TOUCAN_TESTS_RELAY_H
#define TOUCAN_TESTS_RELAY_H

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace toucan::test {

// Listens on 127.0.0.1 on a port of its own, and connects to the target's port for each connection.
class Relay {
public:
  Relay();
  ~Relay();
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  uint16_t port() const { return this->Port; }
  // Connections are closed at once until the target is known.
  void setTarget(uint16_t To);
  // Replaces a text in both directions. Both texts have the same length, so that the length fields
  // of the relayed protocol stay right.
  void replace(const std::string &From, const std::string &By);
  // Notes from now on whether Text passes from the connecting side to the target.
  void watchFor(const std::string &Text);
  bool seen() const;

  // Closes both sides of all connections, silent ones included.
  void cut();
  // Lets all open connections go silent for good, as a broken network path does: data is lost in
  // both directions and neither end gets an acknowledgement or a reset. New connections pass.
  // Returns how many were not silent before.
  size_t silence();
  // Cuts the target off, or ends the cut: meanwhile nothing passes on open connections, and new
  // ones get no answer, not even a reset. Open connections go on after the cut unless an end gave
  // up.
  void partition(bool Cut);
  // Holds back what one side sends, or both, until it is called again: a path that is cut one way,
  // or that delays. Nothing is lost.
  void hold(bool FromNear, bool FromFar);
  // How a path is broken.
  enum class Path : uint8_t {
    Closed, // connections end at once
    Silent, // they stay open, and nothing arrives on either side
  };
  // Breaks the path of the PostgreSQL connections of one user, open and later ones. Those of others
  // pass. Ends an earlier break.
  void breakFor(const std::string &User, Path How);
  // New connections of all users pass.
  void restore();
  // Number of connections accepted so far.
  size_t accepted() const;

private:
  struct Side {
    int Fd = -1;
    std::string Unsent; // to be written to Fd
    bool Ended = false; // nothing more is read from Fd
  };
  struct Pair {
    Side Near; // towards the connecting process
    Side Far;  // towards the target
    bool Silent = false;
    std::string Opening; // first bytes from the connecting process
  };

  void run();
  void accept();
  static void goSilent(Pair &P);
  void breakPath(Pair &P) const;
  void serve(Pair &P);
  void forward(Side &From, Side &To, Pair *Outward);
  void closeEnded();

  int Listener = -1;
  uint16_t Port = 0;
  mutable std::mutex Mutex;
  bool Stopping = false;
  bool Partitioned = false;
  bool HeldFromNear = false;
  bool HeldFromFar = false;
  uint16_t Target = 0;
  std::map<std::string, std::string> Replacements;
  std::string Watched;
  bool WatchedSeen = false;
  size_t AcceptedCount = 0;
  std::string BrokenUser; // empty: none
  Path BrokenAs = Path::Closed;
  std::list<Pair> Pairs;
  std::thread Thread;
};

} // namespace toucan::test

#endif // TOUCAN_TESTS_RELAY_H
