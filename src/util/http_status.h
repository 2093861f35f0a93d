#ifndef TOUCANDOCK_UTIL_HTTP_STATUS_H_
#define TOUCANDOCK_UTIL_HTTP_STATUS_H_

namespace toucandock::util {

// Whether HTTP has statuses with this code (RFC 9110, section 15). A message
// with another one is no response.
constexpr bool IsStatusCode(unsigned code) {
  constexpr unsigned kLowest = 100;
  constexpr unsigned kHighest = 599;
  return kLowest <= code && code <= kHighest;
}

}  // namespace toucandock::util

#endif  // TOUCANDOCK_UTIL_HTTP_STATUS_H_
