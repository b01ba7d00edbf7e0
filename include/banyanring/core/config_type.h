/** @file config_type.h Parsed configuration and VM list as published by the platform. */
#pragma once

#include "banyanring/core/ids_type.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace banyanring {

/** Kind of response of a backend server. */
enum class BackendKind : std::uint8_t {
    Engine, ///< Streams tokens; supports resuming and cancelling a stream.
    Plain, ///< Sends a complete response at once.
};

/** A service that backend servers provide. */
struct Service
{
    std::string name; ///< Unique name.
    ServiceId id = 0; ///< hashName(name).
    BackendKind kind = BackendKind::Plain; ///< Kind of response of its servers.
    Duration maxRunTime{}; ///< A request that runs longer is cancelled.
    std::uint32_t longRequestTokens = 0; ///< Token estimate from which a request counts as long.
};

/** A path that accepts requests. */
struct Route
{
    std::string path; ///< Unique path, such as "/rider/draft".
    ServiceId service = 0; ///< Service that handles its requests.
    Tier tier = 0; ///< Priority of its requests; 0 is the most urgent.
    bool idempotent = false; ///< Safe to retry without a ticket; other routes require one.
    bool anonymous = false; ///< Accepts requests without an API key.
    Duration deadline{}; ///< Time limit for the complete response.
};

/** A customer organisation and its rate limit. */
struct Organisation
{
    std::string name; ///< Unique name.
    OrganisationId id = 0; ///< hashName(name).
    double rate = 0; ///< Tokens per second over the whole fleet.
    double burst = 0; ///< Maximum burst over the whole fleet, in tokens.
    double weight = 1; ///< Weight in fair queuing within a tier.
};

/** A backend server. */
struct BackendServer
{
    std::string name; ///< Unique name.
    ServerId id = 0; ///< hashName(name).
    ServiceId service = 0; ///< Service that it provides.
    std::string address; ///< "host:port" of its HTTP listener.
    DomainId domain = 0; ///< Failure domain that it belongs to.
    std::uint16_t slots = 0; ///< Maximum concurrent requests when warm.
    std::uint16_t coldSlots = 0; ///< Maximum concurrent requests during cold start.
    bool draining = false; ///< Gets no new requests.
};

/** A validated configuration, indexed by the values that requests carry. */
struct Config
{
    Revision revision = 0; ///< Increases with each change.
    std::unordered_map<ServiceId, Service> services; ///< By id.
    std::unordered_map<std::string, Route> routes; ///< By path.
    std::unordered_map<OrganisationId, Organisation> organisations; ///< By id.
    /** By SHA-256 hex digest of the API key. */
    std::unordered_map<std::string, OrganisationId> organisationByKey;
    std::unordered_map<ServerId, BackendServer> servers; ///< By id.
    std::map<DomainId, std::string> domains; ///< Names of all failure domains, by id.
    std::vector<DomainId> outOfServiceDomains; ///< Their servers get no new requests.
};

/** An entry VM in the published VM list. */
struct Vm
{
    NodeId id = 0; ///< Unique number.
    std::string entryAddress; ///< "host:port" that callers connect to.
    std::string peerAddress; ///< "host:port" that peers connect to.
    std::string domain; ///< Failure domain that it belongs to.
    bool draining = false; ///< Is about to be removed.
};

/** The list of entry VMs that the platform publishes; it may be stale. */
struct VmList
{
    Revision revision = 0; ///< Increases with each change.
    std::vector<Vm> vms; ///< Active and draining VMs.
};

using ConfigPtr = std::shared_ptr<const Config>; ///< A configuration shared by threads.
using VmListPtr = std::shared_ptr<const VmList>; ///< A VM list shared by threads.

} // namespace banyanring
