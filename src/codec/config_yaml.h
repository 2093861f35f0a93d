#ifndef TOUCANDOCK_CODEC_CONFIG_YAML_H_
#define TOUCANDOCK_CODEC_CONFIG_YAML_H_

#include <string>

#include "absl/status/statusor.h"
#include "core/config/config.h"

namespace toucandock::codec {

absl::StatusOr<core::config::Config> ParseConfig(const std::string& file,
                                                 const std::string& text);

}  // namespace toucandock::codec

#endif  // TOUCANDOCK_CODEC_CONFIG_YAML_H_
