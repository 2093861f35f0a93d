#ifndef TOUCANDOCK_DAEMON_CONTROL_LOOP_H_
#define TOUCANDOCK_DAEMON_CONTROL_LOOP_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

#include "core/control/host_controller.h"
#include "core/control/messages.h"

namespace toucandock::daemon {

// The parts of the control loop that the daemon supplies. All hooks are called
// on the control thread and must not block.
struct LoopHooks {
  std::function<core::TimePoint()> now;
  // Returns the state of the traffic threads for the next tick.
  std::function<core::control::TickEvent()> tick;
  // Executes an action other than a reply.
  std::function<void(const core::control::Action&,
                     const core::control::HostController&)>
      perform;
  // Called after each event.
  std::function<void(const core::control::HostController&, core::TimePoint)>
      after_event;
  // Called with each event before it is handled; may be empty.
  std::function<void(const core::control::Event&, core::TimePoint)> trace;
};

// Runs the only thread that accesses the control state. Other threads post
// events to it and wait for replies.
class ControlLoop {
 public:
  ControlLoop(core::control::ControllerOptions options,
              core::control::ControlHooks hooks,
              LoopHooks loop_hooks);
  ~ControlLoop();

  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  void Start();
  void Stop();

  void Post(core::control::Event event);
  // These block until the control thread has replied. They return an empty
  // value when it is stopping.
  std::optional<core::control::RenewReply> Renew(
      core::control::RenewRequest request);
  std::optional<core::control::VoteReply> Vote(
      core::control::VoteRequest request);
  std::optional<core::control::StateReply> State();
  // Runs `read` on the control thread and waits for it.
  void Inspect(std::function<void(const core::control::HostController&,
                                  core::TimePoint)> read);

 private:
  using Inspection = std::function<void(const core::control::HostController&,
                                        core::TimePoint)>;

  template <typename Reply>
  std::optional<Reply> Call(
      std::map<std::uint64_t, std::promise<Reply>>& waiting,
      const std::function<core::control::Event(std::uint64_t)>& make_event);
  void Run();
  void Dispatch(const core::control::Event& event);
  void Perform(const core::control::Action& action);

  const LoopHooks hooks_;
  core::control::HostController controller_;

  std::mutex mutex_;
  std::condition_variable available_;
  std::deque<core::control::Event> events_;
  std::deque<Inspection> inspections_;
  bool stopping_ = false;
  std::uint64_t next_token_ = 1;
  // Calls that wait for a reply, by token.
  std::map<std::uint64_t, std::promise<core::control::RenewReply>> renewals_;
  std::map<std::uint64_t, std::promise<core::control::VoteReply>> votes_;
  std::map<std::uint64_t, std::promise<core::control::StateReply>> states_;
  std::thread thread_;
};

}  // namespace toucandock::daemon

#endif  // TOUCANDOCK_DAEMON_CONTROL_LOOP_H_
