// Groups of misbehaving callers, and the checks of the daemon that they call.
#ifndef TOUCAN_TESTS_HOSTILE_CROWD_H
#define TOUCAN_TESTS_HOSTILE_CROWD_H

#include "process.h"

#include "absl/strings/str_cat.h"

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <string>
#include <vector>

namespace toucan::test {

// The smallest machine, and the part of its memory that a daemon may use
// (docs/design/hard-load.md).
inline constexpr uint32_t MemoryMb = 112;
inline constexpr double MemoryShare = 0.6;
inline constexpr size_t MaxResidentKb = static_cast<size_t>(MemoryMb * 1024 * MemoryShare);
// The platform reserves 200 descriptors for files, so that 300 are left for sockets.
inline constexpr uint32_t MaxDescriptors = 500;
inline constexpr size_t MaxOpenDescriptors = 300;
// Callers that fit into the descriptors, and more than that.
inline constexpr size_t Crowd = 150;
inline constexpr size_t LargeCrowd = 400;
inline constexpr size_t MessageLimit = size_t{1} << 20;
// A crowd has done what it can do after this time without a byte sent or received.
inline constexpr std::chrono::milliseconds QuietTime{700};
// Ends a crowd that always makes progress, such as one whose statements are all served.
inline constexpr std::chrono::milliseconds CrowdLimit{8000};

inline size_t statusKb(pid_t Pid, const std::string &Field) {
  std::ifstream In(absl::StrCat("/proc/", Pid, "/status"));
  for (std::string Line; std::getline(In, Line);)
    if (Line.rfind(Field + ":", 0) == 0)
      return std::strtoull(Line.c_str() + Field.size() + 1, nullptr, 10);
  return 0;
}

inline size_t openDescriptors(pid_t Pid) {
  size_t Count = 0;
  std::error_code Failed;
  for (std::filesystem::directory_iterator It(absl::StrCat("/proc/", Pid, "/fd"), Failed), End;
       !Failed && It != End; It.increment(Failed))
    ++Count;
  return Count;
}

// A daemon that a crowd calls. Notes the peak of its resources and checks them.
class CrowdTarget {
public:
  CrowdTarget() = default;
  virtual ~CrowdTarget() = default;
  CrowdTarget(const CrowdTarget &) = delete;
  CrowdTarget &operator=(const CrowdTarget &) = delete;

  // Port for callers.
  virtual uint16_t port() const = 0;
  virtual Process &process() const = 0;
  // Sends one ordinary request on a new connection; true if it is answered completely.
  virtual bool answersOrdinary() const = 0;

  // Notes the number of open descriptors, of which the kernel keeps no peak.
  void observe() {
    this->PeakDescriptors = std::max(this->PeakDescriptors, openDescriptors(this->process().pid()));
  }

  // The checks of each case. The crowd is still connected unless it has ended by itself.
  void check() {
    this->observe();
    CHECK(eventually([this] { return this->answersOrdinary(); }));
    this->observe();
    CHECK_FALSE(this->process().wait(std::chrono::milliseconds(0)).has_value());
    size_t PeakKb = statusKb(this->process().pid(), "VmHWM");
    MESSAGE("peak resident memory " << PeakKb << " KB of " << MaxResidentKb << ", descriptors "
                                    << this->PeakDescriptors << " of " << MaxOpenDescriptors);
    // The sanitizers use several times the memory of the program itself.
    if (!TOUCAN_SANITIZED)
      CHECK(PeakKb <= MaxResidentKb);
    CHECK(this->PeakDescriptors <= MaxOpenDescriptors);
  }

private:
  size_t PeakDescriptors = 0;
};

// What one caller of a crowd does.
struct Behaviour {
  std::string Text;            // sent
  size_t Repeat = 1;           // how often the text is sent
  size_t Piece = SIZE_MAX;     // bytes per send
  size_t ReadBytes = SIZE_MAX; // bytes read in all; then it reads no more
  size_t ReadPiece = 65536;    // bytes per round
  bool HalfClose = false;      // shuts down its sending side when all is sent
  bool Reset = false;          // resets the connection when all is sent
};

// Non-blocking connections of one thread.
class CallerCrowd {
public:
  CallerCrowd(CrowdTarget &Target, size_t Count, Behaviour What)
      : Target(Target), What(std::move(What)), Members(Count) {}
  ~CallerCrowd() {
    for (Member &M : this->Members)
      closeMember(M);
  }

  // Runs until every member has done its part or nothing moves any more.
  void run() {
    for (Member &M : this->Members)
      this->connectMember(M);
    std::chrono::steady_clock::time_point Began = std::chrono::steady_clock::now();
    std::chrono::steady_clock::time_point Progress = Began;
    for (size_t Round = 0; std::chrono::steady_clock::now() - Progress < QuietTime &&
                           std::chrono::steady_clock::now() - Began < CrowdLimit;
         ++Round) {
      bool Moved = false;
      for (Member &M : this->Members)
        Moved |= this->step(M);
      if (Moved)
        Progress = std::chrono::steady_clock::now();
      else
        ::poll(nullptr, 0, 5);
      if (Round % 64 == 0)
        this->Target.observe();
    }
    this->Target.observe();
  }

  // Goes on until Condition holds for every member; false if it does not within Limit.
  bool waitFor(const std::function<bool(size_t)> &Condition,
               std::chrono::milliseconds Limit = WaitLimit) {
    return eventually(
        [&] {
          for (Member &M : this->Members)
            this->step(M);
          for (size_t I = 0; I < this->Members.size(); ++I)
            if (!Condition(I))
              return false;
          return true;
        },
        Limit);
  }
  bool waitForEnd(std::chrono::milliseconds Limit = WaitLimit) {
    return this->waitFor([this](size_t I) { return this->Members[I].Ended; }, Limit);
  }

  bool anyEnded() const {
    return std::any_of(this->Members.begin(), this->Members.end(),
                       [](const Member &M) { return M.Ended; });
  }
  size_t size() const { return this->Members.size(); }
  const std::string &received(size_t I) const { return this->Members[I].Received; }

private:
  struct Member {
    int Fd = -1;
    size_t Sent = 0;
    size_t ReadCount = 0;
    std::string Received;  // the first bytes
    bool Finished = false; // all is sent
    bool Ended = false;    // the daemon closed the connection
  };
  static constexpr size_t KeptBytes = 4096;

  static void closeMember(Member &M) {
    if (M.Fd >= 0)
      ::close(M.Fd);
    M.Fd = -1;
  }

  void connectMember(Member &M) {
    M.Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(this->Target.port());
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::connect(M.Fd, reinterpret_cast<sockaddr *>(&Address), sizeof Address) == 0);
  }

  bool step(Member &M) {
    bool Moved = this->sendPart(M);
    return this->readPart(M) || Moved;
  }

  bool sendPart(Member &M) {
    if (M.Fd < 0 || M.Finished)
      return false;
    size_t Total = this->What.Text.size() * this->What.Repeat;
    if (M.Sent < Total) {
      size_t At = M.Sent % this->What.Text.size();
      size_t Count = std::min(this->What.Piece, this->What.Text.size() - At);
      ssize_t N = ::send(M.Fd, this->What.Text.data() + At, Count, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (N < 0 && errno != EAGAIN && errno != EINTR) {
        M.Finished = true; // the daemon closed the connection
        return true;
      }
      M.Sent += static_cast<size_t>(std::max<ssize_t>(N, 0));
      return N > 0;
    }
    M.Finished = true;
    if (this->What.HalfClose)
      ::shutdown(M.Fd, SHUT_WR);
    if (this->What.Reset) {
      linger Now{.l_onoff = 1, .l_linger = 0};
      ::setsockopt(M.Fd, SOL_SOCKET, SO_LINGER, &Now, sizeof Now);
      closeMember(M);
    }
    return true;
  }

  bool readPart(Member &M) {
    if (M.Fd < 0 || M.Ended || M.ReadCount >= this->What.ReadBytes)
      return false;
    char Buffer[65536];
    size_t Count =
        std::min({sizeof Buffer, this->What.ReadPiece, this->What.ReadBytes - M.ReadCount});
    ssize_t N = ::recv(M.Fd, Buffer, Count, MSG_DONTWAIT);
    if (N < 0 && (errno == EAGAIN || errno == EINTR))
      return false;
    if (N <= 0) {
      M.Ended = true;
      return true;
    }
    M.ReadCount += static_cast<size_t>(N);
    if (M.Received.size() < KeptBytes)
      M.Received.append(Buffer, static_cast<size_t>(N));
    return true;
  }

  CrowdTarget &Target;
  Behaviour What;
  std::vector<Member> Members;
};

inline std::string repeated(const std::string &Text, size_t Count) {
  std::string Out;
  Out.reserve(Text.size() * Count);
  for (size_t I = 0; I < Count; ++I)
    Out += Text;
  return Out;
}

inline size_t occurrences(const std::string &Text, const std::string &Part) {
  size_t Count = 0;
  for (size_t At = 0; (At = Text.find(Part, At)) != std::string::npos; At += Part.size())
    ++Count;
  return Count;
}

} // namespace toucan::test

#endif // TOUCAN_TESTS_HOSTILE_CROWD_H
