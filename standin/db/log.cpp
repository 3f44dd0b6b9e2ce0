#include "log.h"

#include "base/log.h"

#include "absl/strings/str_format.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <string_view>

namespace toucan::standin {

namespace {

// Header of a log record. The SQL text follows it in the file.
struct RecordHeader {
  uint64_t Term;
  uint64_t Position;
  uint64_t Bytes;
  uint64_t Checksum;
};

// FNV-1a over the fields and the text. Detects a record whose write was cut off when the process
// ended.
uint64_t checksum(const RecordHeader &Header, std::string_view Sql) {
  uint64_t Hash = 14695981039346656037ULL;
  auto Add = [&Hash](uint64_t V) { Hash = (Hash ^ V) * 1099511628211ULL; };
  Add(Header.Term);
  Add(Header.Position);
  Add(Header.Bytes);
  for (char C : Sql)
    Add(static_cast<uint8_t>(C));
  return Hash;
}

[[noreturn]] void abortProcess(std::string_view Operation) {
  LogEvent(LogLevel::Error, "log_failed").kv("what", Operation).kv("cause", std::strerror(errno));
  std::abort();
}

void writeAll(int Fd, std::string_view Bytes) {
  while (!Bytes.empty()) {
    ssize_t Written = ::write(Fd, Bytes.data(), Bytes.size());
    if (Written < 0 && errno == EINTR)
      continue;
    if (Written <= 0)
      abortProcess("write to the log or the term record");
    Bytes.remove_prefix(static_cast<size_t>(Written));
  }
}

void syncDirectory(const std::string &Dir) {
  int Fd = ::open(Dir.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (Fd < 0 || ::fsync(Fd) != 0)
    abortProcess("fsync of the data directory");
  ::close(Fd);
}

std::string readAll(int Fd) {
  std::string Contents;
  std::string Buffer(1 << 16, '\0');
  for (;;) {
    ssize_t ReadBytes = ::read(Fd, Buffer.data(), Buffer.size());
    if (ReadBytes < 0 && errno == EINTR)
      continue;
    if (ReadBytes <= 0)
      return Contents;
    Contents.append(Buffer, 0, static_cast<size_t>(ReadBytes));
  }
}

} // namespace

GroupLog::~GroupLog() {
  if (this->Fd >= 0)
    ::close(this->Fd);
}

Result<void> GroupLog::open(const std::string &DataDir) {
  this->Dir = DataDir;
  std::string Path = DataDir + "/log";
  this->Fd = ::open(Path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_APPEND, 0600);
  if (this->Fd < 0)
    return failure(absl::StrFormat("cannot open log \"%s\": %s", Path, std::strerror(errno)));
  BOOST_LEAF_CHECK(this->readTermRecord());
  return this->readLog();
}

Result<void> GroupLog::readLog() {
  std::string Contents = readAll(this->Fd);
  std::string_view Remaining = Contents;
  uint64_t End = 0;
  while (Remaining.size() >= sizeof(RecordHeader)) {
    RecordHeader Header;
    std::memcpy(&Header, Remaining.data(), sizeof Header);
    if (Remaining.size() - sizeof Header < Header.Bytes)
      break;
    std::string_view Sql = Remaining.substr(sizeof Header, Header.Bytes);
    if (Header.Checksum != checksum(Header, Sql))
      break;
    if (Header.Position != this->lastPosition() + 1)
      return failure(absl::StrFormat("log in \"%s\" has a gap: position %d follows position %d",
                                     this->Dir, Header.Position, this->lastPosition()));
    this->Entries.push_back(
        {.Term = Header.Term, .Position = Header.Position, .Sql = std::string(Sql)});
    Remaining.remove_prefix(sizeof Header + Header.Bytes);
    End += sizeof Header + Header.Bytes;
    this->EndOffsets.push_back(End);
  }
  if (!Remaining.empty() && ::ftruncate(this->Fd, static_cast<off_t>(End)) != 0)
    return failure(absl::StrFormat("cannot truncate the incomplete end of the log in \"%s\": %s",
                                   this->Dir, std::strerror(errno)));
  return {};
}

Result<void> GroupLog::readTermRecord() {
  std::ifstream File(this->Dir + "/term");
  if (!File)
    return {};
  int PhaseValue = 0;
  if (!(File >> this->AcceptedRecord.Term >> PhaseValue) || PhaseValue < 0 ||
      PhaseValue > static_cast<int>(Phase::Replica))
    return failure(absl::StrFormat("term record in \"%s\" is malformed", this->Dir));
  this->AcceptedRecord.CurrentPhase = static_cast<Phase>(PhaseValue);
  File.ignore(1);
  std::getline(File, this->AcceptedRecord.Proposer, '\0');
  return {};
}

uint64_t GroupLog::termAt(uint64_t Position) const {
  return Position == 0 ? 0 : this->at(Position).Term;
}

const LogEntry &GroupLog::at(uint64_t Position) const {
  assert(Position >= 1 && Position <= this->lastPosition());
  return this->Entries[Position - 1];
}

uint64_t GroupLog::lastPositionAtMost(uint64_t Limit, uint64_t Term) const {
  uint64_t Position = std::min(Limit, this->lastPosition());
  while (Position > 0 && this->termAt(Position) > Term)
    --Position;
  return Position;
}

void GroupLog::append(LogEntry Entry) {
  assert(Entry.Position == this->lastPosition() + 1);
  assert(Entry.Term >= this->lastTerm());
  RecordHeader Header{Entry.Term, Entry.Position, Entry.Sql.size(), 0};
  Header.Checksum = checksum(Header, Entry.Sql);
  std::string Bytes(reinterpret_cast<const char *>(&Header), sizeof Header);
  Bytes += Entry.Sql;
  writeAll(this->Fd, Bytes);
  this->EndOffsets.push_back((this->EndOffsets.empty() ? 0 : this->EndOffsets.back()) +
                             Bytes.size());
  this->Entries.push_back(std::move(Entry));
}

void GroupLog::truncateAfter(uint64_t Position) {
  assert(Position <= this->lastPosition());
  this->Entries.resize(Position);
  this->EndOffsets.resize(Position);
  off_t End = static_cast<off_t>(this->EndOffsets.empty() ? 0 : this->EndOffsets.back());
  if (::ftruncate(this->Fd, End) != 0)
    abortProcess("truncation of the log");
}

void GroupLog::saveTermRecord(TermRecord New) {
  std::string Path = this->Dir + "/term";
  std::string TemporaryPath = Path + ".new";
  int File = ::open(TemporaryPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (File < 0)
    abortProcess("creation of the term record");
  writeAll(File,
           absl::StrFormat("%d %d %s", New.Term, static_cast<int>(New.CurrentPhase), New.Proposer));
  if (::fsync(File) != 0 || ::close(File) != 0 ||
      ::rename(TemporaryPath.c_str(), Path.c_str()) != 0)
    abortProcess("replacement of the term record");
  syncDirectory(this->Dir);
  this->AcceptedRecord = std::move(New);
}

} // namespace toucan::standin
