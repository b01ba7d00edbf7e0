/** @file state_codec.h JSON of the state dump and of request traces. */
#pragma once

#include "banyanring/adapters/platform_reader.h"
#include "banyanring/core/node_base.h"

#include <span>
#include <string>

namespace banyanring {

/**
 * Renders the state dump.
 * @param snapshot State of the core.
 * @param config Configuration in force, which maps ids to names; null without one. Entries whose id
 *               it does not have are left out.
 * @param platform Status of the platform reader.
 * @return A JSON object.
 */
auto stateJson(const NodeSnapshot &snapshot, const ConfigPtr &config,
               const PlatformReader::Status &platform) -> std::string;

/**
 * Renders the decisions on a request.
 * @param decisions Decisions on one request, oldest first.
 * @param now Current time, from which the ages are computed.
 * @return A JSON array.
 */
auto explainJson(std::span<const Decision> decisions, Instant now) -> std::string;

} // namespace banyanring
