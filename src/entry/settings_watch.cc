#include "entry/settings_watch.h"

#include <fstream>
#include <sstream>
#include <utility>

#include "absl/strings/str_join.h"
#include "entry/contained_exception.h"
#include "entry/event_log.h"

namespace toucandock::entry {

SettingsWatch::SettingsWatch(boost::asio::io_context& io,
                             std::string file,
                             std::string text,
                             const EntrySettings& current,
                             Apply apply)
    : timer_(io),
      file_(std::move(file)),
      text_(std::move(text)),
      current_(current),
      apply_(std::move(apply)) {}

void SettingsWatch::Start(std::chrono::milliseconds interval) {
  timer_.expires_after(interval);
  timer_.async_wait([this, interval](const boost::system::error_code& ec) {
    if (!ec) {
      Contain("settings", [this] { Check(); });
      Start(interval);
    }
  });
}

void SettingsWatch::Check() {
  std::ifstream in(file_);
  std::ostringstream read;
  read << in.rdbuf();
  if (!in || read.str() == text_) {
    // A file that is being replaced may be missing for a moment.
    return;
  }
  text_ = read.str();
  const auto new_settings = ParseEntrySettings(file_, text_);
  if (!new_settings.ok()) {
    LogEvent("settings_refused", {{"cause", new_settings.status().message()}});
    return;
  }
  const SettingsChange change = ApplyChanges(*new_settings, current_);
  LogEvent("settings_applied",
           {{"applied", absl::StrJoin(change.applied, ",")},
            {"at_next_start", absl::StrJoin(change.needs_restart, ",")}});
  if (!change.applied.empty()) {
    apply_(current_);
  }
}

}  // namespace toucandock::entry
