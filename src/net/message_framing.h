#ifndef TOUCANDOCK_NET_MESSAGE_FRAMING_H_
#define TOUCANDOCK_NET_MESSAGE_FRAMING_H_

// Boost 1.74 uses std::exchange without including it.
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/fields.hpp>

#include "core/request/framing.h"

namespace toucandock::net {

// `version`: 11 for HTTP/1.1.
core::request::Framing FramingOf(const boost::beast::http::fields& fields,
                                 unsigned version);

// Whether a line of the head begins with a blank or a tab. The parser joins
// such a line to the field before it (obs-fold); it may as well be a field
// whose name is damaged, and a response with it may be discarded (RFC 9112,
// section 5.2). `unparsed`: the bytes from the first line of the head, or from
// any later one, that the parser has not consumed yet.
bool HasFoldedLine(boost::asio::const_buffer unparsed);

}  // namespace toucandock::net

#endif  // TOUCANDOCK_NET_MESSAGE_FRAMING_H_
