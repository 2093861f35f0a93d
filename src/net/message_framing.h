#ifndef TOUCANDOCK_NET_MESSAGE_FRAMING_H_
#define TOUCANDOCK_NET_MESSAGE_FRAMING_H_

// Boost 1.74 uses std::exchange without including it.
#include <utility>

#include <boost/beast/http/fields.hpp>

#include "core/request/framing.h"

namespace toucandock::net {

// `version`: 11 for HTTP/1.1.
core::request::Framing FramingOf(const boost::beast::http::fields& fields,
                                 unsigned version);

}  // namespace toucandock::net

#endif  // TOUCANDOCK_NET_MESSAGE_FRAMING_H_
