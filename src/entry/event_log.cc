#include "entry/event_log.h"

#include <fcntl.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>

namespace toucandock::entry {
namespace {

// Limits of the log lines that a host writes: lines per second over a long
// time, and lines in a burst.
constexpr double kLinesPerSecond = 100;
constexpr double kMaxLineBurst = 300;

// Since the last line that was written, and since the start.
std::atomic<std::uint64_t> dropped_lines{0};
std::atomic<std::uint64_t> all_dropped_lines{0};

void CountDroppedLine() {
  dropped_lines++;
  all_dropped_lines++;
}

// Writes to standard output without ever waiting for its reader.
class StdoutSink : public spdlog::sinks::base_sink<std::mutex> {
 public:
  StdoutSink() {
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
      fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
  }

 private:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t text;
    formatter_->format(message, text);
    const ssize_t n = write(STDOUT_FILENO, text.data(), text.size());
    if (n != static_cast<ssize_t>(text.size())) {
      CountDroppedLine();
    }
  }
  void flush_() override {}
};

// Token bucket that limits the log lines of the process.
class LineRateLimiter {
 public:
  bool Take() {
    const std::lock_guard lock(mutex_);
    const auto now = std::chrono::steady_clock::now();
    const double seconds = std::chrono::duration<double>(now - last_).count();
    last_ = now;
    tokens_ = std::min(kMaxLineBurst, tokens_ + seconds * kLinesPerSecond);
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  std::mutex mutex_;
  double tokens_ = kMaxLineBurst;
  std::chrono::steady_clock::time_point last_{};
};

std::string Quoted(absl::string_view text) {
  std::string json = "\"";
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      json += '\\';
      json += c;
    } else if (byte < 0x20 || byte >= 0x7f) {
      json += fmt::format("\\u{:04x}", byte);
    } else {
      json += c;
    }
  }
  return json + "\"";
}

}  // namespace

LogField::LogField(absl::string_view name, absl::string_view value)
    : name_(name), json_(Quoted(value)) {}

LogField::LogField(absl::string_view name, bool value)
    : name_(name), json_(value ? "true" : "false") {}

LogField::LogField(absl::string_view name, double value)
    : name_(name), json_(fmt::format("{:.3f}", value)) {}

// Each line is one JSON object: time, host, event, and the event's own fields.
void SetUpEventLog(const std::string& host) {
  auto logger =
      std::make_shared<spdlog::logger>(host, std::make_shared<StdoutSink>());
  logger->set_pattern("{\"time\":\"%Y-%m-%dT%H:%M:%S.%eZ\",\"host\":\"%n\",%v}",
                      spdlog::pattern_time_type::utc);
  spdlog::set_default_logger(std::move(logger));
}

void LogEvent(absl::string_view event, std::initializer_list<LogField> fields) {
  static LineRateLimiter limit;
  if (!limit.Take()) {
    CountDroppedLine();
    return;
  }
  std::string text = "\"event\":" + Quoted(event);
  for (const LogField& it : fields) {
    text += ',';
    text += Quoted(it.name());
    text += ':';
    text += it.json();
  }
  const std::uint64_t dropped = dropped_lines.exchange(0);
  if (dropped > 0) {
    text += ",\"dropped_before\":" + std::to_string(dropped);
  }
  spdlog::info("{}", text);
}

std::uint64_t DroppedLogLines() {
  return all_dropped_lines;
}

}  // namespace toucandock::entry
