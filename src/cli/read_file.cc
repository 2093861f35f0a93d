#include "cli/read_file.h"

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "util/text_check.h"

namespace toucandock::cli {

absl::StatusOr<std::string> ReadFile(const std::string& file) {
  std::error_code ec;
  if (std::filesystem::is_directory(file, ec)) {
    return absl::NotFoundError(
        absl::StrCat("'", file, "' is a directory; name a file"));
  }
  errno = 0;
  std::ifstream stream(file);
  if (!stream) {
    return absl::NotFoundError(
        absl::StrCat("cannot read '", file, "': ", std::strerror(errno)));
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

// Removes additions of editors that are not part of the text: a byte order mark
// and carriage returns at the ends of lines. Rejects text that is not UTF-8.
absl::StatusOr<std::string> NormalizeText(const std::string& file,
                                          std::string text) {
  constexpr absl::string_view kByteOrderMark = "\xEF\xBB\xBF";
  if (absl::StartsWith(text, kByteOrderMark)) {
    text.erase(0, kByteOrderMark.size());
  }
  if (!util::IsUtf8(text)) {
    return absl::InvalidArgumentError(
        absl::StrCat(file, ":1: text: is not UTF-8; save the file as UTF-8"));
  }
  return absl::StrReplaceAll(text, {{"\r\n", "\n"}});
}

}  // namespace toucandock::cli
