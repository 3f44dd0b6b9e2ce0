#include "operate.h"

#include "absl/strings/str_format.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace toucan::test {

void applyRules(const Cluster &C, const std::string &Text, uint64_t Base) {
  std::string Path = C.writeFile("rules", Text);
  CtlResult R = C.ctl({"rules", "apply", Path, absl::StrFormat("--base=%d", Base)});
  REQUIRE_MESSAGE(R.Code == 0, R.Out << R.Err);
}

std::optional<TargetRow> targetRow(const Cluster &C, const std::string &Target) {
  CtlResult R = C.ctl({"targets", "--output=json"});
  auto Json = nlohmann::json::parse(R.Out, nullptr, false);
  if (R.Code != 0 || Json.is_discarded())
    return std::nullopt;
  std::optional<TargetRow> Out;
  for (const auto &Row : Json["targets"]) {
    if (Row["target"] != Target)
      continue;
    if (!Out)
      Out.emplace();
    Out->State = Row["state"];
    Out->Owner = Row["owner"];
    Out->Connections += Row["connections"].get<uint64_t>();
    Out->Executing += Row["executing"].get<uint64_t>();
  }
  return Out;
}

size_t ownerOf(const Cluster &C) {
  size_t Found = C.proxies();
  eventually([&] {
    std::optional<TargetRow> Row = targetRow(C, C.serverName(0));
    for (Found = 0; Row && Found < C.proxies(); ++Found)
      if (C.proxyName(Found) == Row->Owner)
        return true;
    return false;
  });
  return Found;
}

} // namespace toucan::test
