#include "entry/permit_json.h"

#include <algorithm>
#include <chrono>

#include "codec/json.h"

namespace toucandock::entry {
namespace {

using core::warmup::kMaxPermitsWanted;
using core::warmup::PermitAnswer;
using core::warmup::PermitQuestion;
using std::chrono::microseconds;

// First byte of the datagram, which distinguishes it from the others.
constexpr char kPermitTag = 'W';
// Each question asks for at least one permit, so that there are no more.
constexpr Json::ArrayIndex kMaxItems = kMaxPermitsWanted;
// Longer times of an answer are reduced to this one.
constexpr microseconds kMaxDue{std::chrono::hours(1)};

// A question is an array: its id, the target's id and start time, and the
// number of permits.
bool IsQuestion(const Json::Value& value) {
  return value.isArray() && value.size() == 4 && value[0].isUInt64() &&
         value[1].isString() && codec::IsShortToken(value[1].asString()) &&
         value[2].isInt64() && value[3].isUInt() && value[3].asUInt() > 0 &&
         value[3].asUInt() <= kMaxPermitsWanted;
}

// An answer is an array: the id of the question, the number of permits, and the
// time until the next one in microseconds.
bool IsAnswer(const Json::Value& value) {
  return value.isArray() && value.size() == 3 && value[0].isUInt64() &&
         value[1].isUInt() && value[1].asUInt() <= kMaxPermitsWanted &&
         value[2].isInt64();
}

}  // namespace

bool IsPermitMessage(const std::string& text) {
  return !text.empty() && text.front() == kPermitTag;
}

std::string EncodePermitMessage(const PermitMessage& message) {
  Json::Value value(Json::arrayValue);
  Json::Value& questions = value.append(Json::Value(Json::arrayValue));
  for (const PermitQuestion& it : message.questions) {
    Json::Value question(Json::arrayValue);
    question.append(codec::Uint(it.id));
    question.append(it.instance.id);
    question.append(Json::Int64(it.instance.start_time_ms));
    question.append(it.wanted);
    questions.append(std::move(question));
  }
  Json::Value& answers = value.append(Json::Value(Json::arrayValue));
  for (const PermitAnswer& it : message.answers) {
    Json::Value answer(Json::arrayValue);
    answer.append(codec::Uint(it.question));
    answer.append(it.issued);
    answer.append(Json::Int64(
        std::chrono::duration_cast<microseconds>(it.next_due).count()));
    answers.append(std::move(answer));
  }
  return kPermitTag + codec::WriteJson(value);
}

absl::StatusOr<PermitMessage> DecodePermitMessage(const std::string& text) {
  const absl::StatusOr<Json::Value> json = codec::ParseJson(text.substr(1));
  if (!json.ok()) {
    return json.status();
  }
  if (!json->isArray() || json->size() != 2 || !(*json)[0].isArray() ||
      !(*json)[1].isArray() || (*json)[0].size() > kMaxItems ||
      (*json)[1].size() > kMaxItems) {
    return absl::InvalidArgumentError(
        "a message about permits must hold up to 16 questions and answers");
  }
  PermitMessage message;
  for (const Json::Value& it : (*json)[0]) {
    if (!IsQuestion(it)) {
      return absl::InvalidArgumentError(
          "a question must hold an id, a target and up to 16 permits");
    }
    message.questions.push_back(
        {.id = it[0].asUInt64(),
         .instance = {.id = it[1].asString(), .start_time_ms = it[2].asInt64()},
         .wanted = it[3].asUInt()});
  }
  for (const Json::Value& it : (*json)[1]) {
    if (!IsAnswer(it)) {
      return absl::InvalidArgumentError(
          "an answer must hold an id, up to 16 permits and a time");
    }
    message.answers.push_back(
        {.question = it[0].asUInt64(),
         .issued = it[1].asUInt(),
         .next_due =
             std::clamp(microseconds(it[2].asInt64()), -kMaxDue, kMaxDue)});
  }
  return message;
}

}  // namespace toucandock::entry
