#ifndef TOUCANDOCK_CODEC_YAML_READER_H_
#define TOUCANDOCK_CODEC_YAML_READER_H_

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "core/time.h"

namespace toucandock::codec {

// Errors of one YAML text with their lines, so that all are reported at once.
class YamlErrors {
 public:
  explicit YamlErrors(std::string file) : file_(std::move(file)) {}

  void Add(int line, const std::string& field, const std::string& message);
  // Records the line of a field, for errors that are found later.
  void NoteLine(const std::string& field, int line) { lines_[field] = line; }
  int LineOf(const std::string& field) const;
  bool HasErrorAt(const std::string& field) const;
  bool empty() const { return errors_.empty(); }
  absl::Status ToStatus() const;

 private:
  struct Error {
    int line = 0;
    std::string field;
    std::string text;
  };

  std::string file_;
  std::vector<Error> errors_;
  std::map<std::string, int> lines_;
};

// Reads the members of one YAML map. Absent members leave the value unchanged;
// members that are not read by the caller are errors.
class YamlMap {
 public:
  YamlMap(const YAML::Node& node, std::string field, YamlErrors& errors);
  ~YamlMap();

  YamlMap(const YamlMap&) = delete;
  YamlMap& operator=(const YamlMap&) = delete;

  void Read(const char* name, std::string& value);
  void Read(const char* name, bool& value);
  void Read(const char* name, int& value);
  void Read(const char* name, std::uint32_t& value);
  void Read(const char* name, std::uint64_t& value);
  void Read(const char* name, double& value);
  void Read(const char* name, core::Duration& value);
  void Read(const char* name, std::vector<std::string>& value);
  // Calls `read` with each element of a list and its field name.
  void ReadList(
      const char* name,
      const std::function<void(const YAML::Node&, const std::string&)>& read);
  void ReadMap(const char* name, const std::function<void(YamlMap&)>& read);
  void Require(const char* name);

 private:
  YAML::Node Get(const char* name);
  std::string FieldOf(const char* name) const;
  bool ReadScalar(const char* name, const char* expected, std::string& text);
  template <typename Number>
  void ReadNumber(const char* name, Number& value);

  YAML::Node node_;
  std::string field_;
  YamlErrors& errors_;
  bool is_map_ = true;
  std::set<std::string> known_;
};

absl::Status LoadYaml(const std::string& file,
                      const std::string& text,
                      YAML::Node& root);

}  // namespace toucandock::codec

#endif  // TOUCANDOCK_CODEC_YAML_READER_H_
