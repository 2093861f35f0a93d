#include "cli/host_commands.h"

#include <functional>
#include <utility>

#include "absl/status/statusor.h"
#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "codec/json.h"
#include "http/client.h"

namespace toucandock::cli {
namespace {

using core::ErrorKind;

std::string EscapeQuery(const std::string& text) {
  std::string result;
  for (const unsigned char c : text) {
    if (absl::ascii_isalnum(c) || c == '-' || c == '_' || c == '.') {
      result += static_cast<char>(c);
    } else {
      absl::StrAppend(&result, "%", absl::Hex(c, absl::kZeroPad2));
    }
  }
  return result;
}

// Converts the problem document of a refusal to the error of the same kind.
Answer Refused(const Json::Value& problem, int status) {
  if (problem.isObject() && problem["kind"].isString()) {
    const ErrorKind kind = core::ErrorKindFromName(problem["kind"].asString());
    if (kind != ErrorKind::kNone) {
      return Failed(kind, problem["detail"].isString()
                              ? problem["detail"].asString()
                              : std::string(core::AnswerFor(kind).title));
    }
  }
  return Failed(ErrorKind::kInternal,
                absl::StrCat("the entry host answered with status ", status));
}

// `is_answer` distinguishes the response of an entry host from that of another
// server.
Answer AskHost(const Options& options,
               const std::string& path,
               const std::string& query,
               const std::function<bool(const Json::Value&)>& is_answer) {
  http::Client client;
  const http::ExchangeResult result =
      client.Exchange(options.host_address, {.path = path, .query = query},
                      {.timeout = options.wait});
  if (result.progress != http::Progress::kComplete) {
    return Failed(
        ErrorKind::kHostUnavailable,
        absl::StrCat("no answer from the entry host at '", options.host_address,
                     "'; name another with --host=IP:PORT"));
  }
  const auto value = codec::ParseJson(result.response.body);
  const bool refused = result.response.status != 200;
  if (value.ok() && refused) {
    return Refused(*value, result.response.status);
  }
  if (!value.ok() || !is_answer(*value)) {
    return Failed(ErrorKind::kInternal,
                  absl::StrCat("what answers at '", options.host_address,
                               "' is no operator port of an entry host"));
  }
  return {.text = ToText(*value, ""), .value = *value};
}

}  // namespace

// Formats a JSON value with one line for each member. Lists are indented below
// their name.
std::string ToText(const Json::Value& value, const std::string& indent) {
  std::string text;
  if (value.isArray()) {
    for (const Json::Value& it : value) {
      if (it.isObject()) {
        absl::StrAppend(&text, indent, it["at"].asString(), "  ",
                        it["what"].asString(), "  (", it["cause"].asString(),
                        ")\n");
      } else {
        absl::StrAppend(&text, indent, "- ", it.asString(), "\n");
      }
    }
    return text;
  }
  if (!value.isObject()) {
    return absl::StrCat(indent, value.asString(), "\n");
  }
  for (const std::string& name : value.getMemberNames()) {
    const Json::Value& member = value[name];
    if (member.isArray() || member.isObject()) {
      absl::StrAppend(&text, indent, name, ":", member.empty() ? " none" : "",
                      "\n", ToText(member, indent + "  "));
    } else {
      absl::StrAppend(&text, indent, name, ": ", member.asString(), "\n");
    }
  }
  return text;
}

Answer ShowStatus(const std::vector<std::string>&, const Options& options) {
  return AskHost(options, "/status", "", [](const Json::Value& it) {
    return it.isObject() && it.isMember("config_version");
  });
}

Answer ShowDecisions(const std::vector<std::string>&, const Options& options) {
  return AskHost(options, "/decisions", "",
                 [](const Json::Value& it) { return it.isArray(); });
}

Answer Explain(const std::vector<std::string>& arguments,
               const Options& options) {
  return AskHost(options, "/explain",
                 absl::StrCat("service=", EscapeQuery(arguments[0]),
                              "&key=", EscapeQuery(arguments[1])),
                 [](const Json::Value& it) {
                   return it.isObject() && it.isMember("unit");
                 });
}

}  // namespace toucandock::cli
