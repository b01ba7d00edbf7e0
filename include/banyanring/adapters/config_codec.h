/** @file config_codec.h The published values as JSON: parsing, validation and sharding. */
#pragma once

#include "banyanring/core/config_type.h"

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <vector>

namespace banyanring {

using Shards = std::map<std::string, std::string>; ///< JSON texts of the shards by name.

/** A published value is not usable; carries every fault found. */
class ConfigError : public std::runtime_error
{
public:
    /** @param faults What is wrong, one text a fault. */
    explicit ConfigError(std::vector<std::string> faults);

    std::vector<std::string> faults; ///< One text a fault.
};

/**
 * Parses and validates a whole configuration.
 * @param revision Its revision.
 * @param shards Its shards; each is an object with any of the sections services, routes,
 *        organisations, keys, servers and domains_out.
 * @return The configuration.
 * @throws ConfigError naming every fault.
 */
auto parseConfig(Revision revision, const Shards &shards) -> ConfigPtr;

/**
 * Parses the VM list.
 * @param text JSON: {"revision": n, "vms": [{"id", "entry", "peer", "domain", "state"}]}.
 * @return The list.
 * @throws ConfigError naming every fault.
 */
auto parseVmList(std::string_view text) -> VmListPtr;

/** A piece of configuration that an operator keeps in a file. */
struct SourceFile
{
    std::string name; ///< Path, for messages.
    std::string text; ///< JSON with comments.
};

/**
 * Collects operators' files into shards; the same files give the same shards.
 * @param files The files.
 * @return Shards by name.
 * @throws ConfigError naming every fault with file and line.
 */
auto collectShards(const std::vector<SourceFile> &files) -> Shards;

/**
 * Digests a caller's key.
 * @param key The key.
 * @return SHA-256 in hexadecimal, as the published configuration has it.
 */
auto keyDigest(std::string_view key) -> std::string;

} // namespace banyanring
