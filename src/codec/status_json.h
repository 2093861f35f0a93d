#ifndef TOUCANDOCK_CODEC_STATUS_JSON_H_
#define TOUCANDOCK_CODEC_STATUS_JSON_H_

#include <json/value.h>

#include "core/control/host_controller.h"

namespace toucandock::codec {

Json::Value ToJson(const core::control::ControllerStatus& status);

}  // namespace toucandock::codec

#endif  // TOUCANDOCK_CODEC_STATUS_JSON_H_
