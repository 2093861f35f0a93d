#include "cli/read_file.h"

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "absl/strings/str_cat.h"

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

}  // namespace toucandock::cli
