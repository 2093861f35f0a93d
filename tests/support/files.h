#ifndef TOUCANDOCK_TESTS_SUPPORT_FILES_H_
#define TOUCANDOCK_TESTS_SUPPORT_FILES_H_

#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

namespace toucandock::support {

inline std::string ReadText(const std::string& path) {
  std::ifstream stream(path);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

// Reads a file of the repository.
inline std::string ReadSource(const std::string& path) {
  return ReadText(std::string(TOUCANDOCK_SOURCE_DIR) + "/" + path);
}

// A file that is removed at the end of the test.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text) {
    const int fd = mkstemp(path_);
    if (fd >= 0) {
      close(fd);
    }
    std::ofstream(path_) << text;
  }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;
  ~TemporaryFile() { std::remove(path_); }

  std::string path() const { return path_; }
  void Write(const std::string& text) const { std::ofstream(path_) << text; }

 private:
  char path_[32] = "/tmp/toucandock-test-XXXXXX";
};

}  // namespace toucandock::support

#endif  // TOUCANDOCK_TESTS_SUPPORT_FILES_H_
