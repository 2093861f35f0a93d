#include "entry/permit_link.h"

#include <utility>

#include "entry/event_log.h"
#include "entry/permit_json.h"

namespace toucandock::entry {
namespace {

using core::warmup::PermitAnswer;
using core::warmup::PermitQuestion;

// Interval of the log lines about issued permits.
constexpr std::chrono::seconds kLogInterval{1};
// Name under which the leader counts its own questions.
constexpr char kOwnQuestions[] = "own";

}  // namespace

PermitLink::PermitLink(const core::warmup::ColdBound& bound,
                       const core::warmup::IssuerOptions& options,
                       PermitLinkHooks hooks)
    : hooks_(std::move(hooks)), issuer_(bound, options) {}

void PermitLink::OnLeadership(bool is_leader, core::TimePoint confirmed_at) {
  is_leader_ = is_leader;
  issuer_.OnLeadership(is_leader, confirmed_at, hooks_.now());
}

void PermitLink::SetRates(
    std::map<core::discovery::TargetInstance, double> rates) {
  issuer_.SetRates(std::move(rates), hooks_.now());
}

std::vector<PermitAnswer> PermitLink::AnswersTo(
    const std::vector<PermitQuestion>& questions,
    const std::string& asker) {
  std::vector<PermitAnswer> answers;
  for (const PermitQuestion& it : questions) {
    if (const auto answer = issuer_.Issue(it, asker, hooks_.now())) {
      issued_ += answer->issued;
      refused_ += it.wanted - answer->issued;
      answers.push_back(*answer);
    }
  }
  return answers;
}

void PermitLink::Ask(const std::vector<PermitQuestion>& questions) {
  if (is_leader_) {
    hooks_.deliver(AnswersTo(questions, kOwnQuestions));
    return;
  }
  if (const std::string address = hooks_.leader_address(); !address.empty()) {
    hooks_.send(address, EncodePermitMessage({.questions = questions}));
  }
}

void PermitLink::OnMessage(const std::string& text, const std::string& from) {
  const auto message = DecodePermitMessage(text);
  if (!message.ok()) {
    LogEvent("datagram_unreadable", {{"cause", message.status().message()}});
    return;
  }
  if (!message->answers.empty()) {
    hooks_.deliver(message->answers);
  }
  const std::vector<PermitAnswer> answers = AnswersTo(message->questions, from);
  if (!answers.empty()) {
    hooks_.send(from, EncodePermitMessage({.answers = answers}));
  }
}

void PermitLink::Tick() {
  const core::TimePoint now = hooks_.now();
  const bool is_issuing = issuer_.IsIssuing(now);
  if (std::exchange(was_issuing_, is_issuing) != is_issuing) {
    LogEvent(is_issuing ? "permits_begin" : "permits_end", {});
  }
  if ((issued_ > 0 || refused_ > 0) && now - logged_at_ >= kLogInterval) {
    logged_at_ = now;
    LogEvent("permits_issued", {{"issued", std::exchange(issued_, 0)},
                                {"refused", std::exchange(refused_, 0)}});
  }
}

}  // namespace toucandock::entry
