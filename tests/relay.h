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
  };

  void run();
  void accept();
  void serve(Pair &P);
  void forward(Side &From, Side &To, bool ToTarget);
  void closeEnded();

  int Listener = -1;
  uint16_t Port = 0;
  mutable std::mutex Mutex;
  bool Stopping = false;
  bool Partitioned = false;
  uint16_t Target = 0;
  std::map<std::string, std::string> Replacements;
  std::string Watched;
  bool WatchedSeen = false;
  size_t AcceptedCount = 0;
  std::list<Pair> Pairs;
  std::thread Thread;
};

} // namespace toucan::test

#endif // TOUCAN_TESTS_RELAY_H
