#include "core/request/framing.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace toucandock::core::request {

// Guards against request smuggling: two readers that find different ends of the
// same message.
TEST_CASE("a message whose end is in doubt must be recognized") {
  struct Case {
    std::vector<absl::string_view> codings;
    Framing expected;
  };
  SUBCASE("by its transfer codings (RFC 9112, sections 6.1 and 7)") {
    const Case cases[] = {
        {{}, Framing::kClear},
        {{"chunked"}, Framing::kClear},
        {{"Chunked"}, Framing::kClear},
        {{" chunked\t"}, Framing::kClear},
        {{", chunked ,"}, Framing::kClear},
        {{"gzip, chunked"}, Framing::kUnsupportedCoding},
        {{"gzip", "chunked"}, Framing::kUnsupportedCoding},
        {{"identity, chunked"}, Framing::kUnsupportedCoding},
        {{"xchunked"}, Framing::kAmbiguous},
        {{"chunkedx"}, Framing::kAmbiguous},
        {{"chunked;q=1"}, Framing::kAmbiguous},
        {{"\x0b"
          "chunked"},
         Framing::kAmbiguous},
        {{"identity"}, Framing::kAmbiguous},
        {{"gzip"}, Framing::kAmbiguous},
        {{"chunked, gzip"}, Framing::kAmbiguous},
        {{"chunked, chunked"}, Framing::kAmbiguous},
        {{"chunked", "chunked"}, Framing::kAmbiguous},
        {{""}, Framing::kAmbiguous},
        {{","}, Framing::kAmbiguous},
    };
    for (const Case& it : cases) {
      CAPTURE(it.codings.size());
      CAPTURE(std::string(it.codings.empty() ? "" : it.codings.front()));
      CHECK(ClassifyFraming(it.codings, true, false) == it.expected);
    }
  }
  SUBCASE("by a length beside a transfer coding (section 6.3)") {
    CHECK(ClassifyFraming({"chunked"}, true, true) == Framing::kAmbiguous);
    CHECK(ClassifyFraming({}, true, true) == Framing::kClear);
  }
  SUBCASE("by a transfer coding in HTTP/1.0 (section 6.1)") {
    CHECK(ClassifyFraming({"chunked"}, false, false) == Framing::kAmbiguous);
    CHECK(ClassifyFraming({}, false, true) == Framing::kClear);
  }
}

}  // namespace toucandock::core::request
