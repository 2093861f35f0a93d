#ifndef TOUCANDOCK_TESTS_SUPPORT_BAD_FIELD_NAMES_H_
#define TOUCANDOCK_TESTS_SUPPORT_BAD_FIELD_NAMES_H_

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

namespace toucandock::support {

// Heads of responses with one field whose name holds a blank or a control byte,
// which no name may hold (RFC 9110, section 5.1). `fields` are the proper
// fields of the head; the bad one stands before, between or behind them. A body
// of two bytes is due.
inline std::vector<std::string> HeadsWithBadFieldName(
    const std::vector<std::string>& fields) {
  std::vector<std::string> bad = {"X Y: z",
                                  "X : z",
                                  " X: z",
                                  "\tX: z",
                                  "X\t: z",
                                  "X\tY: z",
                                  "X\rY: z",
                                  "X\nY: z",
                                  "X\x01Y: z",
                                  "\x1fX: z",
                                  "X\x7f: z",
                                  "Content-Length : 1",
                                  " : z",
                                  "Content Length: 1",
                                  " Content-Length: 1",
                                  "\tContent-Length: 1",
                                  "Transfer-Encoding : chunked",
                                  " Transfer-Encoding: chunked",
                                  "Transfer Encoding: chunked",
                                  "\x01Transfer-Encoding: chunked"};
  bad.push_back(std::string("X\0Y: z", 6));
  bad.push_back(std::string("\0X: z", 5));
  std::vector<std::string> heads;
  for (const std::string& it : bad) {
    for (size_t at = 0; at <= fields.size(); ++at) {
      std::string head = "HTTP/1.1 200 OK\r\n";
      for (size_t n = 0; n <= fields.size(); ++n) {
        if (n == at) {
          absl::StrAppend(&head, it, "\r\n");
        }
        if (n < fields.size()) {
          absl::StrAppend(&head, fields[n], "\r\n");
        }
      }
      heads.push_back(absl::StrCat(head, "\r\n"));
    }
  }
  return heads;
}

}  // namespace toucandock::support

#endif  // TOUCANDOCK_TESTS_SUPPORT_BAD_FIELD_NAMES_H_
