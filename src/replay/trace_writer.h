#ifndef TOUCANDOCK_REPLAY_TRACE_WRITER_H_
#define TOUCANDOCK_REPLAY_TRACE_WRITER_H_

#include <cstdint>
#include <fstream>
#include <string>

#include "codec/event_json.h"

namespace toucandock::replay {

// Writes a trace that Replay() reads. Ends at the first line that would make
// the file larger than its limit or that cannot be written. Not safe for use
// by several threads at a time.
class TraceWriter {
 public:
  TraceWriter(const std::string& file, std::uint64_t limit_bytes);

  bool is_open() const { return stream_.is_open(); }
  void Write(const codec::TraceLine& line);

 private:
  const std::uint64_t limit_bytes_;
  std::uint64_t written_bytes_ = 0;
  std::ofstream stream_;
};

}  // namespace toucandock::replay

#endif  // TOUCANDOCK_REPLAY_TRACE_WRITER_H_
