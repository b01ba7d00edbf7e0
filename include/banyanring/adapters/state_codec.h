/** @file state_codec.h The state dump and explanations as JSON. */
#pragma once

#include "banyanring/adapters/platform_reader.h"
#include "banyanring/core/node_base.h"

#include <span>
#include <string>

namespace banyanring {

/**
 * Renders the state dump.
 * @param snapshot State of the core.
 * @param config Configuration in force, for names; may be null.
 * @param platform State of the platform reader.
 * @return JSON.
 */
auto stateJson(const NodeSnapshot &snapshot, const ConfigPtr &config,
               const PlatformReader::Status &platform) -> std::string;

/**
 * Renders an explanation.
 * @param decisions Decisions on one request, oldest first.
 * @param now The present, from which ages are counted.
 * @return JSON.
 */
auto explainJson(std::span<const Decision> decisions, Instant now) -> std::string;

} // namespace banyanring
