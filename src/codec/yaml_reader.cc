#include "codec/yaml_reader.h"

#include <yaml-cpp/eventhandler.h>

#include <algorithm>
#include <limits>
#include <sstream>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "util/duration.h"

namespace toucandock::codec {
namespace {

int LineOfNode(const YAML::Node& node) {
  // An empty text has no position.
  return std::max(node.Mark().line, 0) + 1;
}

// Records the position of the first node of a document.
class FirstNode : public YAML::EventHandler {
 public:
  void OnDocumentStart(const YAML::Mark& mark) override { mark_ = mark; }
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark& mark, YAML::anchor_t) override { Note(mark); }
  void OnAlias(const YAML::Mark& mark, YAML::anchor_t) override { Note(mark); }
  void OnScalar(const YAML::Mark& mark,
                const std::string&,
                YAML::anchor_t,
                const std::string&) override {
    Note(mark);
  }
  void OnSequenceStart(const YAML::Mark& mark,
                       const std::string&,
                       YAML::anchor_t,
                       YAML::EmitterStyle::value) override {
    Note(mark);
  }
  void OnSequenceEnd() override {}
  void OnMapStart(const YAML::Mark& mark,
                  const std::string&,
                  YAML::anchor_t,
                  YAML::EmitterStyle::value) override {
    Note(mark);
  }
  void OnMapEnd() override {}

  int line() const { return std::max(mark_.line, 0) + 1; }

 private:
  void Note(const YAML::Mark& mark) {
    if (!noted_) {
      noted_ = true;
      mark_ = mark;
    }
  }

  YAML::Mark mark_;
  bool noted_ = false;
};

}  // namespace

void YamlErrors::Add(int line,
                     const std::string& field,
                     const std::string& message) {
  errors_.push_back(
      {line, field,
       absl::StrCat(file_, ":", line, ": ", field, ": ", message)});
}

// Returns whether an error was already reported for the field or for a node
// that contains it.
bool YamlErrors::HasErrorAt(const std::string& field) const {
  return std::any_of(errors_.begin(), errors_.end(), [&](const Error& it) {
    const std::string& at = it.field;
    return absl::StartsWith(field, at) &&
           (field.size() == at.size() || field[at.size()] == '.' ||
            field[at.size()] == '[');
  });
}

// Returns the line of the field or, when it is absent, of the node that
// contains it.
int YamlErrors::LineOf(const std::string& field) const {
  std::string at = field;
  while (true) {
    const auto it = lines_.find(at);
    if (it != lines_.end()) {
      return it->second;
    }
    const size_t n = at.find_last_of(".[");
    if (n == std::string::npos) {
      return 1;
    }
    at.resize(n);
  }
}

// The message has one line per error, in the order of the text.
absl::Status YamlErrors::ToStatus() const {
  if (errors_.empty()) {
    return absl::OkStatus();
  }
  std::vector<Error> sorted = errors_;
  std::stable_sort(
      sorted.begin(), sorted.end(),
      [](const Error& a, const Error& b) { return a.line < b.line; });
  return absl::InvalidArgumentError(absl::StrJoin(
      sorted, "\n",
      [](std::string* out, const Error& it) { out->append(it.text); }));
}

YamlMap::YamlMap(const YAML::Node& node, std::string field, YamlErrors& errors)
    : node_(node), field_(std::move(field)), errors_(errors) {
  errors_.NoteLine(field_, LineOfNode(node));
  if (!node.IsMap()) {
    errors_.Add(LineOfNode(node), field_.empty() ? "text" : field_,
                "expected a map of names and values");
    node_ = YAML::Node(YAML::NodeType::Map);
    is_map_ = false;
  }
}

YamlMap::~YamlMap() {
  std::set<std::string> seen;
  for (const auto& it : node_) {
    const std::string name =
        it.first.IsScalar() ? it.first.Scalar() : "(not a name)";
    const std::string field = FieldOf(name.c_str());
    if (!seen.insert(name).second) {
      errors_.Add(LineOfNode(it.first), field, "is given twice");
    }
    if (!known_.contains(name)) {
      errors_.Add(LineOfNode(it.first), field,
                  absl::StrCat("unknown name; known here: ",
                               absl::StrJoin(known_, ", ")));
    }
  }
}

void YamlMap::Read(const char* name, std::string& value) {
  std::string text;
  if (ReadScalar(name, "a text", text)) {
    value = text;
  }
}

void YamlMap::Read(const char* name, bool& value) {
  std::string text;
  if (!ReadScalar(name, "true or false", text)) {
    return;
  }
  if (text != "true" && text != "false") {
    errors_.Add(errors_.LineOf(FieldOf(name)), FieldOf(name),
                absl::StrCat("'", text, "' is not true or false"));
    return;
  }
  value = text == "true";
}

void YamlMap::Read(const char* name, int& value) {
  ReadNumber(name, value);
}

void YamlMap::Read(const char* name, std::uint32_t& value) {
  ReadNumber(name, value);
}

void YamlMap::Read(const char* name, std::uint64_t& value) {
  ReadNumber(name, value);
}

template <typename Number>
void YamlMap::ReadNumber(const char* name, Number& value) {
  std::string text;
  Number parsed = 0;
  if (!ReadScalar(name, "a whole number", text)) {
    return;
  }
  if (!absl::SimpleAtoi(text, &parsed) || parsed < Number{0}) {
    errors_.Add(errors_.LineOf(FieldOf(name)), FieldOf(name),
                absl::StrCat("'", text, "' is not a whole number from 0 to ",
                             std::numeric_limits<Number>::max()));
    return;
  }
  value = parsed;
}

void YamlMap::Read(const char* name, double& value) {
  std::string text;
  double parsed = 0;
  if (!ReadScalar(name, "a number", text)) {
    return;
  }
  if (!absl::SimpleAtod(text, &parsed) || !(parsed >= 0)) {
    errors_.Add(errors_.LineOf(FieldOf(name)), FieldOf(name),
                absl::StrCat("'", text, "' is not a number from 0 on"));
    return;
  }
  value = parsed;
}

void YamlMap::Read(const char* name, core::Duration& value) {
  std::string text;
  if (!ReadScalar(name, "a duration such as 250ms", text)) {
    return;
  }
  const auto parsed = util::ParseDuration(text);
  if (!parsed.ok()) {
    errors_.Add(errors_.LineOf(FieldOf(name)), FieldOf(name),
                std::string(parsed.status().message()));
    return;
  }
  value = *parsed;
}

void YamlMap::Read(const char* name, std::vector<std::string>& value) {
  ReadList(name, [&](const YAML::Node& it, const std::string& field) {
    if (!it.IsScalar()) {
      errors_.Add(LineOfNode(it), field, "expected a text");
      return;
    }
    value.push_back(it.Scalar());
  });
}

void YamlMap::ReadList(
    const char* name,
    const std::function<void(const YAML::Node&, const std::string&)>& read) {
  const YAML::Node list = Get(name);
  if (!list.IsDefined()) {
    return;
  }
  if (!list.IsSequence()) {
    errors_.Add(errors_.LineOf(FieldOf(name)), FieldOf(name),
                "expected a list");
    return;
  }
  for (size_t n = 0; n < list.size(); ++n) {
    const std::string field = absl::StrCat(FieldOf(name), "[", n, "]");
    errors_.NoteLine(field, LineOfNode(list[n]));
    read(list[n], field);
  }
}

void YamlMap::ReadMap(const char* name,
                      const std::function<void(YamlMap&)>& read) {
  const YAML::Node map = Get(name);
  if (map.IsDefined()) {
    YamlMap reader(map, FieldOf(name), errors_);
    read(reader);
  }
}

// Adds an error when the member is absent.
void YamlMap::Require(const char* name) {
  if (is_map_ && !Get(name).IsDefined()) {
    errors_.Add(errors_.LineOf(field_), FieldOf(name), "is missing");
  }
}

YAML::Node YamlMap::Get(const char* name) {
  known_.insert(name);
  const YAML::Node& node = node_;
  YAML::Node found = node[name];
  // The position of an empty value is that of whatever follows it, so errors
  // are reported at the name.
  for (const auto& it : node_) {
    if (it.first.IsScalar() && it.first.Scalar() == name) {
      errors_.NoteLine(FieldOf(name), LineOfNode(it.first));
      break;
    }
  }
  return found;
}

std::string YamlMap::FieldOf(const char* name) const {
  return field_.empty() ? name : absl::StrCat(field_, ".", name);
}

bool YamlMap::ReadScalar(const char* name,
                         const char* expected,
                         std::string& text) {
  const YAML::Node found = Get(name);
  if (!found.IsDefined()) {
    return false;
  }
  if (!found.IsScalar()) {
    errors_.Add(errors_.LineOf(FieldOf(name)), FieldOf(name),
                absl::StrCat("expected ", expected));
    return false;
  }
  text = found.Scalar();
  return true;
}

absl::Status LoadYaml(const std::string& file,
                      const std::string& text,
                      YAML::Node& root) {
  try {
    // LoadAll() is not used: on some damaged texts it returns the same document
    // forever.
    std::istringstream stream(text);
    YAML::Parser parser(stream);
    FirstNode first;
    FirstNode second;
    if (parser.HandleNextDocument(first) && parser.HandleNextDocument(second)) {
      return absl::InvalidArgumentError(absl::StrCat(
          file, ":", second.line(),
          ": a second document starts here; remove the line with ---"));
    }
    root = YAML::Load(text);
  } catch (const YAML::Exception& e) {
    return absl::InvalidArgumentError(
        absl::StrCat(file, ":", e.mark.line + 1, ": not YAML: ", e.msg));
  }
  return absl::OkStatus();
}

}  // namespace toucandock::codec
