/** @file config_codec.h Parsing, validation and sharding of the configuration and the VM list. */
#pragma once

#include "banyanring/core/config_type.h"

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <vector>

namespace banyanring {

/** JSON text of each configuration shard, by name. */
using Shards = std::map<std::string, std::string>;

/** A configuration or VM list is invalid; lists every validation error. */
class ConfigError : public std::runtime_error
{
public:
    /** @param errors Messages, one for each error. */
    explicit ConfigError(std::vector<std::string> errors);

    std::vector<std::string> errors; ///< Messages, one for each error.
};

/**
 * Parses and validates a complete configuration.
 * @param revision Revision of the configuration.
 * @param shards All shards; each is an object with any of the sections services, routes,
 *               organisations, keys, servers and domains_out.
 * @return The configuration.
 * @throws ConfigError listing every validation error.
 */
auto parseConfig(Revision revision, const Shards &shards) -> ConfigPtr;

/**
 * Parses and validates the VM list.
 * @param text JSON: {"revision": n, "vms": [{"id", "entry", "peer", "domain", "state"}]}.
 * @return The VM list.
 * @throws ConfigError listing every validation error.
 */
auto parseVmList(std::string_view text) -> VmListPtr;

/** A configuration file that operators edit. */
struct ConfigSourceFile
{
    std::string name; ///< Path, for error messages.
    std::string text; ///< JSON with comments.
};

/**
 * Merges the files of operators into shards. The result does not depend on the order of the files.
 * @param files The files.
 * @return The shards, valid as a complete configuration.
 * @throws ConfigError listing every validation error with file and line.
 */
auto collectShards(const std::vector<ConfigSourceFile> &files) -> Shards;

/**
 * Computes the digest of an API key.
 * @param key The key.
 * @return SHA-256 in lower-case hexadecimal, as in the section "keys" of the configuration.
 */
auto keyDigest(std::string_view key) -> std::string;

} // namespace banyanring
