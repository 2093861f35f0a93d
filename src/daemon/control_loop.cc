#include "daemon/control_loop.h"

#include <utility>

namespace toucandock::daemon {
namespace {

using namespace core::control;  // NOLINT(google-build-using-namespace)

// Time between ticks. Leases and elections are accurate to this time.
constexpr std::chrono::milliseconds kTick{20};

template <typename Reply>
void Fulfil(std::mutex& mutex,
            std::map<std::uint64_t, std::promise<Reply>>& waiting,
            std::uint64_t token,
            const Reply& reply) {
  const std::lock_guard<std::mutex> lock(mutex);
  const auto it = waiting.find(token);
  if (it != waiting.end()) {
    it->second.set_value(reply);
    waiting.erase(it);
  }
}

}  // namespace

ControlLoop::ControlLoop(ControllerOptions options,
                         ControlHooks hooks,
                         LoopHooks loop_hooks)
    : hooks_(std::move(loop_hooks)),
      controller_(std::move(options), std::move(hooks)) {}

ControlLoop::~ControlLoop() {
  Stop();
}

void ControlLoop::Start() {
  thread_ = std::thread([this] { Run(); });
}

// Ends the thread. Threads that wait for a reply get none.
void ControlLoop::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    renewals_.clear();
    votes_.clear();
    states_.clear();
  }
  available_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void ControlLoop::Post(Event event) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    events_.push_back(std::move(event));
  }
  available_.notify_one();
}

template <typename Reply>
std::optional<Reply> ControlLoop::Call(
    std::map<std::uint64_t, std::promise<Reply>>& waiting,
    const std::function<Event(std::uint64_t)>& make_event) {
  std::future<Reply> reply;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stopping_) {
      return std::nullopt;
    }
    const std::uint64_t token = next_token_++;
    reply = waiting[token].get_future();
    events_.push_back(make_event(token));
  }
  available_.notify_one();
  try {
    return reply.get();
  } catch (const std::future_error&) {
    return std::nullopt;
  }
}

std::optional<RenewReply> ControlLoop::Renew(RenewRequest request) {
  return Call<RenewReply>(renewals_, [&](std::uint64_t token) {
    return RenewRequestEvent{token, std::move(request)};
  });
}

std::optional<VoteReply> ControlLoop::Vote(VoteRequest request) {
  return Call<VoteReply>(votes_, [&](std::uint64_t token) {
    return VoteRequestEvent{token, std::move(request)};
  });
}

std::optional<StateReply> ControlLoop::State() {
  return Call<StateReply>(
      states_, [](std::uint64_t token) { return StateRequestEvent{token}; });
}

void ControlLoop::Inspect(Inspection read) {
  std::promise<void> done;
  std::future<void> finished = done.get_future();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stopping_) {
      return;
    }
    inspections_.push_back(
        [&](const HostController& controller, core::TimePoint now) {
          read(controller, now);
          done.set_value();
        });
  }
  available_.notify_one();
  finished.wait();
}

void ControlLoop::Run() {
  core::TimePoint next_tick = hooks_.now();
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    if (hooks_.now() >= next_tick) {
      next_tick = hooks_.now() + kTick;
      lock.unlock();
      Dispatch(hooks_.tick());
      lock.lock();
    }
    std::deque<Event> events = std::exchange(events_, {});
    std::deque<Inspection> inspections = std::exchange(inspections_, {});
    if (events.empty() && inspections.empty()) {
      available_.wait_until(lock, next_tick);
      continue;
    }
    lock.unlock();
    for (const Event& it : events) {
      Dispatch(it);
    }
    for (const Inspection& it : inspections) {
      it(controller_, hooks_.now());
    }
    lock.lock();
  }
  for (const Inspection& it : inspections_) {
    it(controller_, hooks_.now());
  }
}

void ControlLoop::Dispatch(const Event& event) {
  const core::TimePoint now = hooks_.now();
  if (hooks_.trace) {
    hooks_.trace(event, now);
  }
  const Actions actions = controller_.Handle(event, now);
  hooks_.after_event(controller_, now);
  for (const Action& it : actions) {
    Perform(it);
  }
}

void ControlLoop::Perform(const Action& action) {
  if (const auto* renew = std::get_if<ReplyRenewAction>(&action)) {
    Fulfil(mutex_, renewals_, renew->token, renew->reply);
  } else if (const auto* vote = std::get_if<ReplyVoteAction>(&action)) {
    Fulfil(mutex_, votes_, vote->token, vote->reply);
  } else if (const auto* state = std::get_if<ReplyStateAction>(&action)) {
    Fulfil(mutex_, states_, state->token, state->reply);
  } else {
    hooks_.perform(action, controller_);
  }
}

}  // namespace toucandock::daemon
