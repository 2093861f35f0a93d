#ifndef TOUCANDOCK_ENTRY_EVENT_LOG_H_
#define TOUCANDOCK_ENTRY_EVENT_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <type_traits>

#include "absl/strings/string_view.h"

namespace toucandock::entry {

// Name and value of one member of a log line.
class LogField {
 public:
  LogField(absl::string_view name, absl::string_view value);
  LogField(absl::string_view name, const char* value)
      : LogField(name, absl::string_view(value)) {}
  LogField(absl::string_view name, const std::string& value)
      : LogField(name, absl::string_view(value)) {}
  LogField(absl::string_view name, bool value);
  LogField(absl::string_view name, double value);
  template <typename Number>
  requires std::is_integral_v<Number> LogField(absl::string_view name,
                                               Number value)
      : name_(name), json_(std::to_string(value)) {}

  absl::string_view name() const { return name_; }
  const std::string& json() const { return json_; }

 private:
  absl::string_view name_;
  std::string json_;
};

void SetUpEventLog(const std::string& host);

void LogEvent(absl::string_view event, std::initializer_list<LogField> fields);

// Number of lines that were dropped since the start, because there were too
// many or because nobody read standard output.
std::uint64_t DroppedLogLines();

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_EVENT_LOG_H_
