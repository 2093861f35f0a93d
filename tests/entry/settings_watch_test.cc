#include "entry/settings_watch.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>

#include "absl/strings/str_replace.h"
#include "entry/sample_settings.h"
#include "support/files.h"

namespace toucandock::entry {
namespace {

std::string With(const std::string& from, const std::string& to) {
  return absl::StrReplaceAll(kSampleSettings, {{from, to}});
}

}  // namespace

// Guards against a running host that stops, or uses settings that were never
// valid together, after its settings file was edited.
TEST_CASE("settings that change must not stop or mislead a running host") {
  const support::TemporaryFile file(kSampleSettings);
  const auto settings = ParseEntrySettings(file.path(), kSampleSettings);
  REQUIRE(settings.ok());
  boost::asio::io_context io;
  std::optional<EntrySettings> applied;
  SettingsWatch watch(io, file.path(), kSampleSettings, *settings,
                      [&](const EntrySettings& it) { applied = it; });

  SUBCASE("an unchanged file changes nothing") {
    watch.Check();
    CHECK_FALSE(applied);
  }
  SUBCASE("limits apply at once") {
    file.Write(With("6s", "4s"));
    watch.Check();
    REQUIRE(applied);
    CHECK(applied->stop_limit == std::chrono::seconds(4));

    SUBCASE("and stay when the next text cannot be read") {
      applied.reset();
      file.Write(With("6s", "6"));
      watch.Check();
      CHECK_FALSE(applied);
      SUBCASE("until it is corrected") {
        file.Write(With("ratio: 0.2", "ratio: 0.1"));
        watch.Check();
        REQUIRE(applied);
        CHECK(applied->retries.ratio == 0.1);
        CHECK(applied->stop_limit == std::chrono::seconds(6));
      }
    }
  }
  SUBCASE("addresses apply at the next start") {
    file.Write(With("8641", "8651"));
    watch.Check();
    CHECK_FALSE(applied);
    const auto moved = ParseEntrySettings("f", With("8641", "8651"));
    REQUIRE(moved.ok());
    EntrySettings current = *settings;
    const SettingsChange change = ApplyChanges(*moved, current);
    CHECK(change.applied.empty());
    CHECK(change.needs_restart == std::vector<std::string>{"caller_address"});

    SUBCASE("and a change that was reverted needs no restart") {
      CHECK(ApplyChanges(*settings, current).needs_restart.empty());
    }
  }
  SUBCASE("a change without a signal is found") {
    watch.Start(std::chrono::milliseconds(10));
    file.Write(With("6s", "5s"));
    io.run_for(std::chrono::milliseconds(500));
    REQUIRE(applied);
    CHECK(applied->stop_limit == std::chrono::seconds(5));
  }
}

}  // namespace toucandock::entry
