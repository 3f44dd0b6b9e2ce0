#include "process.h"

#include "absl/strings/str_format.h"

#include <atomic>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>

namespace toucan::test {

namespace {

constexpr std::chrono::milliseconds PollInterval{5};
constexpr int StartFailed = 127;

std::atomic<bool> SomeCheckFailed = false; // checks are made by several threads

// Notes failed checks, so that the logs of their test are kept.
struct FailureListener : doctest::IReporter {
  explicit FailureListener(const doctest::ContextOptions &) {}
  void report_query(const doctest::QueryData &) override {}
  void test_run_start() override {}
  void test_run_end(const doctest::TestRunStats &) override {}
  void test_case_start(const doctest::TestCaseData &) override { SomeCheckFailed = false; }
  void test_case_reenter(const doctest::TestCaseData &) override {}
  void test_case_end(const doctest::CurrentTestCaseStats &) override {}
  void test_case_exception(const doctest::TestCaseException &) override { SomeCheckFailed = true; }
  void subcase_start(const doctest::SubcaseSignature &) override {}
  void subcase_end() override {}
  void log_assert(const doctest::AssertData &A) override {
    if (A.m_failed)
      SomeCheckFailed = true;
  }
  void log_message(const doctest::MessageData &) override {}
  void test_case_skipped(const doctest::TestCaseData &) override {}
};

REGISTER_LISTENER("failures", 1, FailureListener);

void redirect(const char *Path, int To) {
  int Fd = ::open(Path, O_WRONLY | O_CREAT | O_APPEND, 0600);
  if (Fd >= 0)
    ::dup2(Fd, To);
}

int codeOf(int Status) { return WIFEXITED(Status) ? WEXITSTATUS(Status) : 128 + WTERMSIG(Status); }

} // namespace

bool eventually(const std::function<bool()> &Condition, std::chrono::milliseconds Limit) {
  auto Deadline = std::chrono::steady_clock::now() + Limit;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > Deadline)
      return false;
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

Process::Process(const std::string &Program, const std::vector<std::string> &Arguments,
                 std::string Prefix)
    : LogPrefix(std::move(Prefix)) {
  std::string Path = std::string(TOUCAN_BIN_DIR) + "/" + Program;
  std::string Out = this->LogPrefix + ".out";
  std::string Err = this->LogPrefix + ".err";
  std::vector<std::string> Texts = Arguments;
  Texts.insert(Texts.begin(), Path);
  std::vector<char *> Pointers;
  Pointers.reserve(Texts.size() + 1);
  for (std::string &Text : Texts)
    Pointers.push_back(Text.data());
  Pointers.push_back(nullptr);
  std::filesystem::remove(Out);
  pid_t Parent = ::getpid();
  this->Pid = ::fork();
  REQUIRE(this->Pid >= 0);
  if (this->Pid > 0)
    return;
  // Only calls that are safe after fork in a program with threads.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != Parent)
    ::_exit(StartFailed);
  redirect(Out.c_str(), STDOUT_FILENO);
  redirect(Err.c_str(), STDERR_FILENO);
  ::execv(Path.c_str(), Pointers.data());
  ::_exit(StartFailed);
}

Process::~Process() { this->kill(); }

uint16_t Process::port(std::string_view Key) {
  std::string Found;
  eventually([&] {
    if (this->wait(std::chrono::milliseconds(0)))
      return true;
    std::ifstream In(this->LogPrefix + ".out");
    for (std::string Line; std::getline(In, Line) && !In.eof();) {
      size_t At = Line.find(" " + std::string(Key) + "=");
      if (Line.rfind("listening ", 0) == 0 && At != std::string::npos)
        Found = Line.substr(At + Key.size() + 2);
    }
    return !Found.empty();
  });
  return static_cast<uint16_t>(std::atoi(Found.c_str()));
}

void Process::signal(int Number) const {
  if (this->Pid > 0)
    ::kill(this->Pid, Number);
}

void Process::kill() {
  this->signal(SIGKILL);
  this->wait();
}

std::optional<int> Process::wait(std::chrono::milliseconds Limit) {
  if (this->Pid > 0)
    eventually(
        [this] {
          int Status = 0;
          if (::waitpid(this->Pid, &Status, WNOHANG) != this->Pid)
            return false;
          this->ExitCode = codeOf(Status);
          this->Pid = -1;
          return true;
        },
        Limit);
  return this->ExitCode;
}

TestDir::TestDir() {
  std::string Pattern = std::filesystem::temp_directory_path() / "toucan-test-XXXXXX";
  REQUIRE(::mkdtemp(Pattern.data()) != nullptr);
  this->Path = Pattern;
}

TestDir::~TestDir() {
  if (SomeCheckFailed)
    std::cerr << "logs of the failed test: " << this->Path << "\n";
  else
    std::filesystem::remove_all(this->Path);
}

} // namespace toucan::test
