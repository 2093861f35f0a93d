#ifndef TOUCANDOCK_ENTRY_ADMITTED_JSON_H_
#define TOUCANDOCK_ENTRY_ADMITTED_JSON_H_

#include <optional>

#include "codec/json.h"
#include "core/keyspace/admitted_list.h"

namespace toucandock::entry {

// The update as a member of a heartbeat reply.
Json::Value EncodeAdmitted(const core::keyspace::AdmittedUpdate& update);

// Returns nothing if the member is missing, as in replies of earlier versions,
// or if any part of it is not valid.
std::optional<core::keyspace::AdmittedUpdate> DecodeAdmitted(
    const Json::Value& value);

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_ADMITTED_JSON_H_
