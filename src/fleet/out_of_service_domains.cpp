/** @file out_of_service_domains.cpp Failure domains out of service, across restores. */
#include "banyanring/fleet/out_of_service_domains.h"

#include <algorithm>

namespace banyanring::fleet {

namespace {

/** Time within which the operator publishes again what a restored store lacks. */
constexpr Duration RepublishTime = std::chrono::seconds(10);
/** The operator may remove a domain and publish it again while it repeats its changes. */
constexpr Duration RemovalConfirmTime = std::chrono::seconds(2);
/**
 * Shorter than RepublishTime: a domain that is out of service without need costs capacity, while
 * requests to one that has to be out of service break what the operator relies on. A node of a
 * large fleet may fetch the restored contents seconds after the store's return.
 */
constexpr Duration IgnoreTime = std::chrono::milliseconds(2200);

} // namespace

auto OutOfServiceDomains::beginEra(Instant now) -> void
{
    this->restoring = true;
    this->republishedBy = now + RepublishTime;
    for (auto &[domain, until] : this->heldUntil) {
        until = this->republishedBy;
    }
}

auto OutOfServiceDomains::resumeStore(Instant now) -> void
{
    for (auto &[domain, until] : this->heldUntil) {
        until = std::max(until, now + RepublishTime);
    }
}

auto OutOfServiceDomains::update(Names newPublished, const Names &changed, Instant now) -> void
{
    this->published = std::move(newPublished);
    std::erase_if(this->ignoredUntil,
                  [this](const auto &item) { return !this->published.contains(item.first); });
    for (const auto &domain : this->published) {
        this->heldUntil.erase(domain);
        if (this->inForce.contains(domain)) {
            continue;
        }
        const bool isRewritten = !this->restoring && changed.contains(domain);
        if (this->restoring && this->endedAt.contains(domain)) {
            this->ignoredUntil.emplace(domain, now + IgnoreTime);
        } else if (isRewritten || !this->ignoredUntil.contains(domain)) {
            this->takeOut(domain);
        }
    }
    for (const auto &domain : Names(this->inForce)) {
        if (!this->published.contains(domain)) {
            this->holdMissing(domain, changed, now);
        }
    }
}

auto OutOfServiceDomains::holdMissing(const std::string &domain, const Names &changed, Instant now)
    -> void
{
    if (now >= this->republishedBy && !this->heldUntil.contains(domain)) {
        this->bringBack(domain, now);
        return;
    }
    const auto [held, isNew] = this->heldUntil.emplace(domain, this->republishedBy);
    if (!this->restoring && (isNew || changed.contains(domain))) {
        held->second = std::min(held->second, now + RemovalConfirmTime);
    }
}

auto OutOfServiceDomains::tick(Instant now, bool storeReachable) -> void
{
    for (const auto &[domain, until] : Times(this->ignoredUntil)) {
        if (now >= until) {
            this->takeOut(domain);
        }
    }
    for (const auto &[domain, until] : Times(this->heldUntil)) {
        if (storeReachable && now >= until) {
            this->bringBack(domain, now);
        }
    }
    std::erase_if(this->endedAt,
                  [now](const auto &item) { return now - item.second > EndedDomainLifetime; });
}

auto OutOfServiceDomains::takeOut(const std::string &domain) -> void
{
    this->inForce.insert(domain);
    this->ignoredUntil.erase(domain);
    this->endedAt.erase(domain);
}

auto OutOfServiceDomains::bringBack(const std::string &domain, Instant now) -> void
{
    this->inForce.erase(domain);
    this->heldUntil.erase(domain);
    this->endedAt[domain] = now;
    if (this->endedAt.size() > MaxEndedDomains) {
        this->endedAt.erase(
            std::min_element(this->endedAt.begin(), this->endedAt.end(),
                             [](const auto &a, const auto &b) { return a.second < b.second; }));
    }
}

} // namespace banyanring::fleet
