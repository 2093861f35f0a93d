#include "replay/trace_writer.h"

namespace toucandock::replay {

TraceWriter::TraceWriter(const std::string& file, std::uint64_t limit_bytes)
    : limit_bytes_(limit_bytes), stream_(file, std::ios::trunc) {}

// Each line is flushed, so that the trace of a killed process ends with the
// last event that it handled.
void TraceWriter::Write(const codec::TraceLine& line) {
  if (!stream_.is_open()) {
    return;
  }
  const std::string text = codec::EncodeTraceLine(line);
  written_bytes_ += text.size() + 1;
  if (written_bytes_ > limit_bytes_) {
    stream_.close();
    return;
  }
  stream_ << text << '\n' << std::flush;
  if (!stream_) {
    stream_.close();
  }
}

}  // namespace toucandock::replay
