/** @file config_type.h The published configuration and VM list, as typed values. */
#pragma once

#include "banyanring/core/ids_type.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace banyanring {

/** How a backend server answers. */
enum class BackendKind : std::uint8_t {
    Engine, ///< Streams tokens; can resume and cancel streams.
    Plain, ///< Answers whole.
};

/** A service that backend servers provide. */
struct Service
{
    std::string name; ///< Unique name.
    ServiceId id = 0; ///< nameId(name).
    BackendKind kind = BackendKind::Plain; ///< How its servers answer.
    Duration maxRunTime{}; ///< No request runs longer; it is cancelled then.
    std::uint32_t longRequestTokens = 0; ///< A request estimated at this many tokens is long.
};

/** A path that callers send requests to. */
struct Route
{
    std::string path; ///< Unique path, such as "/rider/draft".
    ServiceId service = 0; ///< Service that answers.
    Tier tier = 0; ///< Urgency of its requests.
    bool idempotent = false; ///< May be run again without harm; otherwise a ticket is needed.
    bool anonymous = false; ///< Needs no key.
    Duration deadline{}; ///< Time in which the whole answer is wanted.
};

/** A customer and its limits. */
struct Organisation
{
    std::string name; ///< Unique name.
    OrganisationId id = 0; ///< nameId(name).
    double rate = 0; ///< Tokens a second over the whole fleet.
    double burst = 0; ///< Tokens at once over the whole fleet.
    double weight = 1; ///< Share beside other organisations in a tier.
};

/** A backend server. */
struct BackendServer
{
    std::string name; ///< Unique name.
    ServerId id = 0; ///< nameId(name).
    ServiceId service = 0; ///< Service that it provides.
    std::string address; ///< "host:port" of its HTTP listener.
    DomainId domain = 0; ///< Failure domain that it stands in.
    std::uint16_t slots = 0; ///< Requests that it bears at once when warm.
    std::uint16_t coldSlots = 0; ///< Requests that it bears at once in cold start.
    bool draining = false; ///< Gets no new work.
};

/** A whole configuration, validated, indexed by what requests carry. */
struct Config
{
    Revision revision = 0; ///< Grows with each change.
    std::unordered_map<ServiceId, Service> services; ///< By id.
    std::unordered_map<std::string, Route> routes; ///< By path.
    std::unordered_map<OrganisationId, Organisation> organisations; ///< By id.
    std::unordered_map<std::string, OrganisationId> organisationByKey; ///< By SHA-256 hex digest of the key.
    std::unordered_map<ServerId, BackendServer> servers; ///< By id.
    std::map<DomainId, std::string> domains; ///< All failure domains' names.
    std::vector<DomainId> outOfServiceDomains; ///< Domains out of service.
};

/** An entry VM, as the platform lists it. */
struct Vm
{
    NodeId id = 0; ///< Unique number.
    std::string entryAddress; ///< "host:port" that callers connect to.
    std::string peerAddress; ///< "host:port" that peers connect to.
    std::string domain; ///< Failure domain that it stands in.
    bool draining = false; ///< Is being taken away.
};

/** The platform's lagging list of entry VMs. */
struct VmList
{
    Revision revision = 0; ///< Grows with each change.
    std::vector<Vm> vms; ///< Live and leaving ones.
};

using ConfigPtr = std::shared_ptr<const Config>; ///< A configuration shared by threads.
using VmListPtr = std::shared_ptr<const VmList>; ///< A VM list shared by threads.

} // namespace banyanring
