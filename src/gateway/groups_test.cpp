// Tests of the group sizes in the store: one instance writes them for all, and a change of primary
// relies on a size only once it is settled.
#include "gateway/groups.h"

#include <doctest/doctest.h>

using namespace toucan;
using namespace toucan::gateway;

namespace {

const catalog::ServiceName Service("s");

class CountingRows : public store::RowStore {
public:
  explicit CountingRows(Loop &InLoop) : InLoop(InLoop) {}
  void readAll(const std::string &, std::function<void(store::ReadResult)> Done) override {
    ++this->Reads;
    store::ReadResult R{.Done = !this->Down, .Cause = this->Down ? "down" : ""};
    if (!this->Down)
      for (const auto &[Key, Row] : this->Table)
        R.Rows.push_back(Row);
    this->InLoop.post([Done, R] { Done(R); });
  }
  void write(const std::string &, const std::string &Key, store::RowVersion Expected,
             const std::string &Value, std::function<void(store::WriteResult)> Done) override {
    ++this->Writes;
    store::Row &Row = this->Table[Key];
    store::WriteResult R{.Outcome = store::WriteOutcome::Conflict, .Found = Row};
    if (Row.Version == Expected) {
      Row = {.Key = Key, .Value = Value, .Version = store::RowVersion(Expected.Value + 1)};
      R = {.Outcome = store::WriteOutcome::Done, .Version = Row.Version};
    }
    this->InLoop.post([Done, R] { Done(R); });
  }
  void overwrite(const std::string &, const std::string &, const std::string &,
                 std::function<void(store::WriteResult)>) override {
    ++this->Overwrites;
  }
  Loop &InLoop;
  bool Down = false;
  int Reads = 0;
  int Writes = 0;
  int Overwrites = 0;
  std::map<std::string, store::Row> Table;
};

void runFor(Loop &InLoop, absl::Duration For) {
  InLoop.at(InLoop.now() + For, [&] { InLoop.stop(); });
  InLoop.run();
}

} // namespace

// Guards against every instance writing all sizes at each start. With 36 instances and eight sizes
// each, that was a tenth of all calls to the store.
TEST_CASE("group sizes: the first instance writes them and the others read them") {
  Loop InLoop;
  CountingRows Rows(InLoop);
  GroupSizes First(InLoop, Rows, absl::ZeroDuration());
  // Far apart: both write if the process is stopped from before one delay to after the other.
  GroupSizes Second(InLoop, Rows, absl::Seconds(3));
  for (GroupSizes *G : {&First, &Second}) {
    G->start();
    for (uint32_t Count = 1; Count <= 3; ++Count)
      G->onRegisteredCount(Service, Count);
    CHECK(G->size(Service) == 3);
  }
  runFor(InLoop, absl::Seconds(12));
  CHECK(Rows.Writes == 1);
  CHECK(Rows.Overwrites == 0);
  CHECK(Rows.Table["s"].Value == "3");
}

// Guards against a needless change of primary at the first start: all instances took a primary that
// had not registered yet for a lost one, and claimed the change.
TEST_CASE("group sizes: settled once read from the store or after the first start") {
  Loop InLoop;
  CountingRows Rows(InLoop);
  GroupSizes G(InLoop, Rows, absl::Seconds(60));
  G.start();
  G.onRegisteredCount(Service, 1);
  GroupSizes Restarted(InLoop, Rows, absl::Seconds(60));
  Instant Began = InLoop.now();
  InLoop.at(Began + absl::Milliseconds(50), [&] {
    CHECK_FALSE(G.settled(Service));
    Rows.Table["s"] = {.Key = "s", .Value = "3", .Version = store::RowVersion(1)};
    Restarted.start();
  });
  InLoop.at(Began + absl::Milliseconds(100), [&] {
    CHECK_FALSE(G.settled(Service));
    CHECK(Restarted.settled(Service));
    CHECK(Restarted.size(Service) == 3);
  });
  runFor(InLoop, absl::Milliseconds(8200));
  CHECK(G.settled(Service));
}

TEST_CASE("group sizes: an unavailable store is read again, and no size is settled before") {
  Loop InLoop;
  CountingRows Rows(InLoop);
  Rows.Down = true;
  Rows.Table["s"] = {.Key = "s", .Value = "3", .Version = store::RowVersion(1)};
  GroupSizes G(InLoop, Rows, absl::ZeroDuration());
  G.start();
  InLoop.at(InLoop.now() + absl::Milliseconds(300), [&] {
    CHECK_FALSE(G.settled(Service));
    Rows.Down = false;
  });
  runFor(InLoop, absl::Milliseconds(1500));
  CHECK(G.settled(Service));
  CHECK(Rows.Reads == 2);
}

// Guards against a group that counts as larger for good (review/14): a process that starts while a
// server and its replacement are both registered took them for two, and no lost primary was
// replaced afterwards.
TEST_CASE("group sizes: a row takes precedence over what a process finds registered at its start") {
  Loop InLoop;
  CountingRows Rows(InLoop);
  Rows.Table["s"] = {.Key = "s", .Value = "3", .Version = store::RowVersion(1)};
  GroupSizes G(InLoop, Rows, absl::ZeroDuration(), absl::Seconds(20));
  G.start();
  G.onRegisteredCount(Service, 4);
  InLoop.at(InLoop.now() + absl::Seconds(3), [&] {
    CHECK(G.size(Service) == 3);
    G.onRegisteredCount(Service, 3);
  });
  runFor(InLoop, absl::Seconds(9));
  CHECK(G.size(Service) == 3);
  CHECK(Rows.Table["s"].Value == "3");
}

TEST_CASE("group sizes: a size that stays larger is written under the version that was read") {
  Loop InLoop;
  CountingRows Rows(InLoop);
  Rows.Table["s"] = {.Key = "s", .Value = "3", .Version = store::RowVersion(7)};
  GroupSizes G(InLoop, Rows, absl::ZeroDuration(), absl::Milliseconds(200));
  G.start();
  InLoop.at(InLoop.now() + absl::Milliseconds(50), [&] { G.onRegisteredCount(Service, 4); });
  runFor(InLoop, absl::Milliseconds(800));
  CHECK(G.size(Service) == 4);
  CHECK(Rows.Table["s"].Value == "4");
  CHECK(Rows.Table["s"].Version == store::RowVersion(8));
  CHECK(Rows.Overwrites == 0);
}
