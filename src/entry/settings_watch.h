#ifndef TOUCANDOCK_ENTRY_SETTINGS_WATCH_H_
#define TOUCANDOCK_ENTRY_SETTINGS_WATCH_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <string>

#include "entry/settings.h"

namespace toucandock::entry {

// Follows the settings file while the host runs. Settings that cannot be read
// leave those in force as they are.
class SettingsWatch {
 public:
  // Hands over the settings in force when some of them have changed.
  using Apply = std::function<void(const EntrySettings&)>;

  SettingsWatch(boost::asio::io_context& io,
                std::string file,
                std::string text,
                const EntrySettings& current,
                Apply apply);

  // Reads the file again at intervals: it may change without a signal.
  void Start(std::chrono::milliseconds interval);
  // Reads the file now.
  void Check();

 private:
  boost::asio::steady_timer timer_;
  const std::string file_;
  // As last read, whether or not it is in force.
  std::string text_;
  EntrySettings current_;
  const Apply apply_;
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_SETTINGS_WATCH_H_
