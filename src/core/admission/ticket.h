#ifndef TOUCANDOCK_CORE_ADMISSION_TICKET_H_
#define TOUCANDOCK_CORE_ADMISSION_TICKET_H_

#include <cstdint>

namespace toucandock::core::admission {

// Identifies a request in one queue; never reused.
using Ticket = std::uint64_t;

}  // namespace toucandock::core::admission

#endif  // TOUCANDOCK_CORE_ADMISSION_TICKET_H_
