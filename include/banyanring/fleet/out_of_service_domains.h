/** @file out_of_service_domains.h Failure domains out of service, across restores of the store. */
#pragma once

#include "banyanring/core/ids_type.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace banyanring::fleet {

/**
 * Decides which failure domains are out of service. The contents of the store apply, except for
 * a while after it was restored from a copy: the operator publishes again what the copy lacks.
 * Until then, a domain out of service stays so, and one that is known to be back in service is not
 * taken out again because of the copy.
 */
class OutOfServiceDomains
{
public:
    using Names = std::set<std::string, std::less<>>;

    /** Notes that the next published domains are those of a restored store. */
    auto beginEra(Instant now) -> void;

    /** Notes that the operator can publish again after an outage of the store. */
    auto resumeStore(Instant now) -> void;

    /**
     * Applies the domains that the store holds.
     * @param published All domains that are published as out of service.
     * @param changed Those whose item was written or removed.
     * @param now Current time.
     */
    auto update(Names published, const Names &changed, Instant now) -> void;

    /** Ends the waits for the operator that are over. */
    auto tick(Instant now, bool storeReachable) -> void;

    /** Notes that all changes of the restored store have been applied. */
    auto endRestore() -> void
    {
        this->restoring = false;
    }

    /** @return Names of the domains that are out of service. */
    auto current() const -> const Names &
    {
        return this->inForce;
    }

    /** @return Domains out of service that the store lacks, each with the end of its wait. */
    auto held() const -> const std::map<std::string, Instant, std::less<>> &
    {
        return this->heldUntil;
    }

    /** Domains that are back in service and still remembered. */
    static constexpr std::size_t MaxEndedDomains = 64;
    /** A domain that is back in service is remembered for longer than a copy can be old. */
    static constexpr Duration EndedDomainLifetime = std::chrono::seconds(60);

private:
    using Times = std::map<std::string, Instant, std::less<>>;

    auto takeOut(const std::string &domain) -> void;
    auto bringBack(const std::string &domain, Instant now) -> void;
    auto holdMissing(const std::string &domain, const Names &changed, Instant now) -> void;

    Names inForce;
    Names published; ///< As the store holds them.
    Times heldUntil; ///< Out of service though the store lacks them.
    Times ignoredUntil; ///< In service though the copy of the store holds them.
    Times endedAt; ///< When domains came back into service.
    bool restoring = false; ///< The contents of a restored store are being applied.
    Instant republishedBy{}; ///< The operator has published again until then.
};

} // namespace banyanring::fleet
