// Child processes of a test.
#ifndef TOUCAN_TESTS_PROCESS_H
#define TOUCAN_TESTS_PROCESS_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <sys/types.h>

namespace toucan::test {

// Time after which a test gives up waiting. No machine should need it.
constexpr std::chrono::seconds WaitLimit{60};

// Polls until Condition holds; false after Limit.
bool eventually(const std::function<bool()> &Condition,
                std::chrono::milliseconds Limit = WaitLimit);

// A program of the build directory. Its output goes to files; it is killed when the object or the
// thread that started it ends.
class Process {
public:
  // LogPrefix.out and LogPrefix.err get its output.
  Process(const std::string &Program, const std::vector<std::string> &Arguments,
          std::string LogPrefix);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  // Number after "KEY=" in the line "listening ..."; 0 when it does not come in time.
  uint16_t port(std::string_view Key);
  void signal(int Number) const;
  // -1 after the end was seen.
  pid_t pid() const { return this->Pid; }
  // kill -9, then waits for the end.
  void kill();
  // Waits for the end: exit code, or 128 + signal; empty at the limit.
  std::optional<int> wait(std::chrono::milliseconds Limit = WaitLimit);

private:
  pid_t Pid = -1; // -1 after the end was seen
  std::optional<int> ExitCode;
  std::string LogPrefix;
};

// Temporary directory; kept, and its path printed, when a check of the test has failed.
class TestDir {
public:
  TestDir();
  ~TestDir();
  TestDir(const TestDir &) = delete;
  TestDir &operator=(const TestDir &) = delete;
  std::string file(const std::string &Name) const { return this->Path + "/" + Name; }

private:
  std::string Path;
};

} // namespace toucan::test

#endif // TOUCAN_TESTS_PROCESS_H
