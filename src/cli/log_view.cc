#include "cli/log_view.h"

#include <random>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "codec/config_yaml.h"
#include "core/control/replica.h"

namespace toucandock::cli {
namespace {

using namespace core::control;  // NOLINT(google-build-using-namespace)

// Delay between reads. Without it, a log that refuses connections would be
// called in a tight loop.
constexpr std::chrono::milliseconds kReadRetry{100};

std::string NewRecordId() {
  std::random_device device;
  std::uniform_int_distribution<std::uint64_t> distribution;
  return absl::StrCat(absl::Hex(distribution(device), absl::kZeroPad16),
                      absl::Hex(distribution(device), absl::kZeroPad16));
}

ControlHooks MakeHooks() {
  return {.parse_config = [](const std::string& text) {
    return codec::ParseConfig("config", text);
  }};
}

absl::Status NoCheckpoint() {
  return absl::UnavailableError(
      "the log holds no checkpoint to start reading from");
}

}  // namespace

LogView::LogView(platform::LogOptions options)
    : log_(client_, std::move(options)) {}

absl::StatusOr<ControlState> LogView::ReadState() {
  absl::StatusOr<LogReadEvent> read = log_.ReadAll();
  if (!read.ok()) {
    return read.status();
  }
  const ControlHooks hooks = MakeHooks();
  Replica replica(hooks);
  if (!replica.AddEntries(*read)) {
    return NoCheckpoint();
  }
  replica.ApplyAll();
  return replica.state();
}

// Applies the log once from its latest checkpoint, for the configuration in
// force, and once from its first checkpoint, for older versions.
absl::StatusOr<ConfigHistory> LogView::ReadVersions() {
  absl::StatusOr<LogReadEvent> read = log_.ReadAll();
  if (!read.ok()) {
    return read.status();
  }
  const ControlHooks hooks = MakeHooks();
  Replica latest(hooks);
  if (!latest.AddEntries(*read)) {
    return NoCheckpoint();
  }
  latest.ApplyAll();
  ConfigHistory history = {.current = latest.state().config_version};
  ControlState state;
  bool started = read->first_retained == 0;
  for (const LogEntry& it : read->entries) {
    const auto* checkpoint = std::get_if<CheckpointRecord>(&it.record.body);
    if (!started && checkpoint != nullptr) {
      state = *checkpoint->state;
      state.last_leader_record = it.offset;
      started = true;
    } else if (started) {
      ApplyEntry(state, it);
    }
    if (state.config_version != 0) {
      history.texts[state.config_version] = state.config_text;
    }
  }
  if (history.current != 0) {
    history.texts[history.current] = latest.state().config_text;
  }
  return history;
}

// Appends the proposal and reads the log until the result is on it. When the
// append was not confirmed, it is repeated under the same id, so that the hosts
// recognise the repetition. With the error DeadlineExceeded, the proposal is on
// the log and has no result yet; with Unavailable, it may or may not be on the
// log.
absl::StatusOr<PublishResult> LogView::Publish(const PublishRequest& request) {
  const Record record = {
      .id = NewRecordId(),
      .author = request.author,
      .body = PublishRecord{request.text, request.author, request.edited_from}};
  const auto end = std::chrono::steady_clock::now() + request.wait;
  bool stored = log_.Append(record).ok();
  core::Offset next = 0;
  while (std::chrono::steady_clock::now() < end) {
    const absl::StatusOr<ControlState> state = ReadState();
    if (!state.ok()) {
      std::this_thread::sleep_for(kReadRetry);
      continue;
    }
    const auto it = state->publish_results.find(record.id);
    if (it != state->publish_results.end()) {
      return it->second;
    }
    stored = stored || state->proposals.contains(record.id);
    if (!stored) {
      stored = log_.Append(record).ok();
    }
    next = state->next;
    // The log holds the read until there is a new record. When the log responds
    // immediately instead, the pause prevents a tight loop.
    const absl::StatusOr<LogReadEvent> more = log_.Read(next);
    if (!more.ok() || more->end <= next) {
      std::this_thread::sleep_for(kReadRetry);
    }
  }
  if (stored) {
    return absl::DeadlineExceededError(absl::StrCat(
        "no entry host decided within ", request.wait.count(),
        " ms; the proposal is on the log and will be decided as soon as one "
        "can; see 'toucandock config' later"));
  }
  return absl::UnavailableError(absl::StrCat(
      "the log did not confirm the proposal within ", request.wait.count(),
      " ms; it may or may not be there; see 'toucandock config' later"));
}

}  // namespace toucandock::cli
