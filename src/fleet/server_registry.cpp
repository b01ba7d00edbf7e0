/**
 * @file server_registry.cpp Registered backend servers with their load, health and response times.
 */
#include "banyanring/fleet/server_registry.h"

#include <algorithm>
#include <utility>

namespace banyanring::fleet {

namespace {

using std::chrono::milliseconds;

/** First backoff of an unreachable server; the platform restarts a server within seconds. */
constexpr Duration InitialBackoff = milliseconds(300);
constexpr Duration MaxBackoff = milliseconds(2000); ///< A restart takes about this long.
/** A server's load report is used until newer gossip should have arrived. */
constexpr Duration ReportLifetime = milliseconds(150);
constexpr Duration MaxHealthySilence = milliseconds(2000); ///< Longer ones count as failures.
constexpr double FitWeight = 0.08; ///< Weight of one sample in a linear fit.
/** Work of the two samples that represent another node's fit: a short and a long prompt. */
constexpr double ShortWork = 500;
constexpr double LongWork = 10000;
constexpr double FailureWeight = 0.12; ///< Weight of one response in the failure rate.
constexpr double SampleDecay = 0.98; ///< Decay of the sample count per response.
constexpr double EjectionMinSamples = 6; ///< Minimum sample count for an ejection.
constexpr double EjectionMinFailureRate = 0.30; ///< Minimum failure rate for an ejection.
/** Minimum failure rate as a multiple of the service's average. */
constexpr double EjectionFailureRatio = 2.0;
constexpr Duration EjectionTime = milliseconds(3000); ///< After this the server is used again.
/** At most one in this many servers of a service is ejected. */
constexpr std::size_t ServersPerEjection = 3;
constexpr Duration FirstOverlongDeferral = milliseconds(500);
constexpr std::uint32_t MaxOverlongRepetitions = 5; ///< Limits the deferral to eight seconds.
/** A registration that only the store lost is back within seconds of the store's return. */
constexpr Duration RemovedServerLifetime = std::chrono::seconds(60);

/** @return Whether a server, if there is one, has not restarted since; false if that is unknown. */
auto isSameProcess(const ServerPtr &server, const ServerRegistration &registration) -> bool
{
    return server != nullptr && registration.startedAtMs != 0
           && server->registration.startedAtMs == registration.startedAtMs;
}

} // namespace

auto DecayingLinearFit::seed(double baseMs, double msPerWork) -> void
{
    this->seeded = true;
    this->meanWork = (ShortWork + LongWork) / 2;
    this->meanMs = baseMs + msPerWork * this->meanWork;
    this->meanSquaredWork = (ShortWork * ShortWork + LongWork * LongWork) / 2;
    this->meanWorkTimesMs = baseMs * this->meanWork + msPerWork * this->meanSquaredWork;
}

auto DecayingLinearFit::addSample(double work, double ms) -> void
{
    if (!this->seeded) {
        this->seed(0, ms / std::max(work, ShortWork));
    }
    this->meanWork += FitWeight * (work - this->meanWork);
    this->meanMs += FitWeight * (ms - this->meanMs);
    this->meanSquaredWork += FitWeight * (work * work - this->meanSquaredWork);
    this->meanWorkTimesMs += FitWeight * (work * ms - this->meanWorkTimesMs);
}

auto DecayingLinearFit::slope() const -> double
{
    const double variance = this->meanSquaredWork - this->meanWork * this->meanWork;
    if (variance < 1) {
        return 0;
    }
    return std::max(0.0, (this->meanWorkTimesMs - this->meanWork * this->meanMs) / variance);
}

auto DecayingLinearFit::intercept() const -> double
{
    return std::max(0.0, this->meanMs - this->slope() * this->meanWork);
}

auto limitReportOf(const Server &server, Instant now) -> RequestLimitReport
{
    return {server.hash, server.requestLimit.perSecond(), now - server.requestLimit.statedAt()};
}

auto Server::occupiedSlots(Instant now) const -> std::uint32_t
{
    auto peerRequests = this->peerLoad.requests;
    if (now - this->reportedAt < ReportLifetime) {
        peerRequests = std::max(peerRequests, this->reportedOtherRequests);
    }
    return this->ownLoad.requests + peerRequests;
}

auto ServerRegistry::registerServer(const ServerRegistration &registration, Duration coldPeriod,
                                    Instant now) -> bool
{
    auto &server = this->servers[registration.id];
    const bool isListed = server != nullptr;
    if (!isListed) {
        server = this->takeRemoved(registration);
    }
    const bool sameStart = server != nullptr && server->registration.address == registration.address
                           && server->registration.service == registration.service
                           && server->registration.startedAtMs == registration.startedAtMs;
    if (!sameStart) {
        const auto former = std::exchange(server, std::make_shared<Server>());
        if (isSameProcess(former, registration)) {
            server->leaving = former->leaving;
            server->deferredUntil = former->deferredUntil;
        }
        server->hash = static_cast<std::uint32_t>(
            mix64(registration.startedAtMs
                  ^ (static_cast<std::uint64_t>(hashName(registration.id)) << 32U)));
        server->coldUntil = now + coldPeriod;
        server->registration = registration;
    }
    if (!sameStart || !isListed) {
        this->rebuildIndex();
    }
    const bool isRepeated = sameStart && registration.sequence != 0
                            && server->registration.sequence == registration.sequence;
    const bool changed = !sameStart || server->registration.draining != registration.draining
                         || server->removeAt != Never;
    server->registration = registration;
    server->removeAt = Never;
    if (registration.coldRemaining > Duration(0) && !isRepeated) {
        server->coldUntil = std::max(server->coldUntil, now + registration.coldRemaining);
    }
    return changed;
}

auto ServerRegistry::markUnregistered(std::string_view id, Instant useUntil) -> void
{
    const auto found = this->servers.find(id);
    if (found != this->servers.end()) {
        found->second->removeAt = std::min(found->second->removeAt, useUntil);
    }
}

auto ServerRegistry::cancelRemoval(std::string_view id) -> void
{
    const auto found = this->servers.find(id);
    if (found != this->servers.end()) {
        found->second->removeAt = Never;
    }
}

auto ServerRegistry::removeExpired(Instant now) -> std::vector<std::string>
{
    std::vector<std::string> removed;
    std::erase_if(this->servers, [&](const auto &item) {
        if (item.second->removeAt > now) {
            return false;
        }
        removed.push_back(item.first);
        this->removedServers[item.first] = {item.second, now};
        return true;
    });
    std::erase_if(this->removedServers, [now](const auto &item) {
        return now - item.second.removedAt > RemovedServerLifetime;
    });
    if (!removed.empty()) {
        this->rebuildIndex();
    }
    return removed;
}

auto ServerRegistry::takeRemoved(const ServerRegistration &registration) -> ServerPtr
{
    const auto found = this->removedServers.find(registration.id);
    if (found == this->removedServers.end()) {
        return nullptr;
    }
    auto server = found->second.server;
    this->removedServers.erase(found);
    if (!isSameProcess(server, registration)) {
        return nullptr;
    }
    server->peerLoad = {};
    server->coordinatedHere = false;
    return server;
}

auto ServerRegistry::markLeaving(Server &server) -> bool
{
    server.maxIdleConnections = 0;
    return !std::exchange(server.leaving, true);
}

auto ServerRegistry::markUnreachable(Server &server, Instant now) -> bool
{
    if (now < server.backoffUntil) {
        return false;
    }
    server.wasUnreachable = true;
    server.backoff =
        server.backoff == Duration(0) ? InitialBackoff : std::min(MaxBackoff, 2 * server.backoff);
    server.backoffUntil = now + server.backoff;
    return true;
}

auto ServerRegistry::endBackoff(Server &server) -> void
{
    server.backoff = Duration(0);
    server.backoffUntil = Instant(0);
}

auto ServerRegistry::markReachable(Server &server, Duration coldPeriod, Instant now) -> bool
{
    endBackoff(server);
    if (!server.wasUnreachable) {
        return false;
    }
    server.wasUnreachable = false;
    server.coldUntil = std::max(server.coldUntil, now + coldPeriod);
    return true;
}

auto ServerRegistry::deferAfterOverlongBody(Server &server, Instant now) -> Duration
{
    const auto repetitions = std::min(server.overlongBodies++, MaxOverlongRepetitions);
    if (repetitions == 0) {
        return Duration(0);
    }
    const Duration wait = FirstOverlongDeferral * (1U << (repetitions - 1));
    server.deferredUntil = std::max(server.deferredUntil, now + wait);
    return wait;
}

auto ServerRegistry::recordSilence(Server &server, Instant since, Instant now) -> bool
{
    if (server.silentSince == Instant(0) || server.lastDataAt > server.silentSince) {
        server.silentSince = since;
    }
    return now - server.silentSince > MaxHealthySilence;
}

auto ServerRegistry::recordOutcome(Server &server, AttemptOutcome outcome, Instant now) -> bool
{
    if (outcome == AttemptOutcome::Neutral) {
        return false;
    }
    if (outcome == AttemptOutcome::Succeeded) {
        server.overlongBodies = 0;
    }
    auto &stats = server.stats;
    const double failed = outcome == AttemptOutcome::Failed ? 1 : 0;
    stats.sampleCount = stats.sampleCount * SampleDecay + 1;
    const double weight = std::max(FailureWeight, 1 / stats.sampleCount);
    stats.failureRate += weight * (failed - stats.failureRate);
    if (failed == 0 || stats.sampleCount < EjectionMinSamples || now < server.ejectedUntil) {
        return false;
    }
    double sum = 0;
    std::size_t ejected = 0;
    const auto &serviceServers = this->serversOf(server.registration.service);
    for (const auto &other : serviceServers) {
        sum += other->stats.failureRate;
        ejected += now < other->ejectedUntil ? 1 : 0;
    }
    const double average =
        (sum - stats.failureRate)
        / static_cast<double>(std::max<std::size_t>(1, serviceServers.size() - 1));
    if (stats.failureRate < std::max(EjectionMinFailureRate, EjectionFailureRatio * average)
        || (ejected + 1) * ServersPerEjection > serviceServers.size()) {
        return false;
    }
    server.ejectedUntil = now + EjectionTime;
    stats.sampleCount = 0;
    stats.failureRate = average;
    return true;
}

auto ServerRegistry::setPeerLoads(const std::unordered_map<std::uint32_t, ServerLoad> &loads)
    -> void
{
    for (const auto &[id, server] : this->servers) {
        if (server->coordinatedHere) {
            continue;
        }
        const auto found = loads.find(server->hash);
        server->peerLoad = found == loads.end() ? ServerLoad{} : found->second;
    }
}

auto ServerRegistry::adoptPeerLatencies(const std::vector<ServerLatencyReport> &reports) -> void
{
    for (const auto &report : reports) {
        const auto server = this->byHash.find(report.serverHash);
        if (server == this->byHash.end()) {
            continue;
        }
        auto &own = server->second->stats;
        if (!own.firstByteFit.hasSamples() && report.promptMsPerToken > 0) {
            own.firstByteFit.seed(report.firstByteMs, report.promptMsPerToken);
        }
        if (own.outputMsPerToken == 0) {
            own.outputMsPerToken = report.outputMsPerToken;
        }
    }
}

auto ServerRegistry::mergeRequestLimits(const std::vector<RequestLimitReport> &reports, Instant now)
    -> std::vector<ServerPtr>
{
    std::vector<ServerPtr> changed;
    for (const auto &report : reports) {
        const auto server = this->findByHash(report.serverHash);
        if (server && server->requestLimit.update(report.perSecond, now - report.age, now)) {
            changed.push_back(server);
        }
    }
    return changed;
}

auto ServerRegistry::requestLimitNews(Instant now) const -> std::vector<RequestLimitReport>
{
    std::vector<RequestLimitReport> news;
    for (const auto &[id, server] : this->servers) {
        if (server->requestLimit.isNews(now)) {
            news.push_back(limitReportOf(*server, now));
        }
    }
    const auto count = std::min(news.size(), MaxLimitReports);
    std::partial_sort(news.begin(), news.begin() + static_cast<std::ptrdiff_t>(count), news.end(),
                      [](const RequestLimitReport &first, const RequestLimitReport &second) {
                          return first.age < second.age;
                      });
    news.resize(count);
    return news;
}

auto ServerRegistry::serversOf(std::string_view service) const -> const std::vector<ServerPtr> &
{
    static const std::vector<ServerPtr> None;
    const auto found = this->byService.find(service);
    return found == this->byService.end() ? None : found->second;
}

auto ServerRegistry::find(std::string_view id) const -> ServerPtr
{
    const auto found = this->servers.find(id);
    return found == this->servers.end() ? nullptr : found->second;
}

auto ServerRegistry::findByHash(std::uint32_t hash) const -> ServerPtr
{
    const auto found = this->byHash.find(hash);
    return found == this->byHash.end() ? nullptr : found->second;
}

auto ServerRegistry::rebuildIndex() -> void
{
    ++this->generationNumber;
    this->byService.clear();
    this->byHash.clear();
    for (const auto &[id, server] : this->servers) {
        this->byHash[server->hash] = server;
        this->byService[server->registration.service].push_back(server);
    }
}

} // namespace banyanring::fleet
