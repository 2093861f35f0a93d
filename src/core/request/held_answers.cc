#include "core/request/held_answers.h"

#include <utility>

namespace toucandock::core::request {

HeldAnswers::Hold HeldAnswers::Add(size_t bytes, GiveUp give_up) {
  const std::uint64_t id = next_id_++;
  entries_[id] = {.bytes = bytes, .give_up = std::move(give_up)};
  bytes_ += bytes;
  Hold hold(this,
            [self = shared_from_this(), id](const void*) { self->Remove(id); });
  GiveUpExcess();
  return hold;
}

void HeldAnswers::Remove(std::uint64_t id) {
  const auto it = entries_.find(id);
  if (it != entries_.end()) {
    bytes_ -= it->second.bytes;
    entries_.erase(it);
  }
}

void HeldAnswers::GiveUpExcess() {
  while (!entries_.empty() &&
         (bytes_ > limits_.bytes || entries_.size() > limits_.answers)) {
    const auto oldest = entries_.begin();
    const GiveUp give_up = std::move(oldest->second.give_up);
    Remove(oldest->first);
    give_up();
  }
}

}  // namespace toucandock::core::request
