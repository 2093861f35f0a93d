#include "core/request/framing.h"

#include "absl/strings/match.h"
#include "absl/strings/str_split.h"

namespace toucandock::core::request {
namespace {

// Strips spaces and tabs, which are the only whitespace within a field.
absl::string_view StripFieldWhitespace(absl::string_view text) {
  constexpr char kWhitespace[] = " \t";
  const size_t begin = text.find_first_not_of(kWhitespace);
  if (begin == absl::string_view::npos) {
    return "";
  }
  return text.substr(begin, text.find_last_not_of(kWhitespace) - begin + 1);
}

}  // namespace

Framing ClassifyFraming(const std::vector<absl::string_view>& transfer_codings,
                        bool is_http_1_1,
                        bool has_content_length) {
  if (transfer_codings.empty()) {
    return Framing::kClear;
  }
  // A recipient that does not know transfer codings would read another body
  // (RFC 9112, section 6.1).
  if (!is_http_1_1 || has_content_length) {
    return Framing::kAmbiguous;
  }
  int codings = 0;
  int chunked = 0;
  bool is_last_chunked = false;
  for (const absl::string_view value : transfer_codings) {
    for (const absl::string_view part : absl::StrSplit(value, ',')) {
      const absl::string_view coding = StripFieldWhitespace(part);
      // Empty list elements are ignored (RFC 9110, section 5.6.1).
      if (coding.empty()) {
        continue;
      }
      ++codings;
      is_last_chunked = absl::EqualsIgnoreCase(coding, "chunked");
      chunked += is_last_chunked ? 1 : 0;
    }
  }
  if (!is_last_chunked || chunked != 1) {
    return Framing::kAmbiguous;
  }
  return codings == 1 ? Framing::kClear : Framing::kUnsupportedCoding;
}

}  // namespace toucandock::core::request
