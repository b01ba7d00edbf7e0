/** @file server_book.cpp What this node knows and believes of each backend server. */
#include "banyanring/fleet/server_book.h"

#include <algorithm>

namespace banyanring::fleet {

namespace {

using std::chrono::milliseconds;

/** A server out of reach is tried again after this; the platform restarts one in seconds. */
constexpr Duration FirstAvoidance = milliseconds(300);
constexpr Duration LongestAvoidance = milliseconds(2000); ///< A restart takes about that long.
/** A load report counts for as long as gossip of the same age would be due. */
constexpr Duration ReportLifetime = milliseconds(150);
constexpr double LineWeight = 0.08; ///< Weight of one sample in a line.
/** Work of two imagined samples on a line that others have seen: a short and a long prompt. */
constexpr double ShortWork = 500;
constexpr double LongWork = 10000;
constexpr double FailureWeight = 0.12; ///< Weight of one answer in the failure average.
constexpr double SampleFade = 0.98; ///< Fading of the number of samples per answer.
constexpr double EjectSamples = 6; ///< No verdict on fewer answers.
constexpr double EjectFailures = 0.30; ///< Least failure part for a verdict.
constexpr double EjectRatio = 2.0; ///< Times the service's average failure part.
constexpr Duration EjectionTime = milliseconds(3000); ///< Then the server is tried again.
constexpr std::size_t EjectablePart = 3; ///< At most one in so many servers is set aside.

} // namespace

auto FadingLine::adopt(double baseMs, double msPerWork) -> void
{
    this->isKnown = true;
    this->work = (ShortWork + LongWork) / 2;
    this->ms = baseMs + msPerWork * this->work;
    this->workWork = (ShortWork * ShortWork + LongWork * LongWork) / 2;
    this->workMs = baseMs * this->work + msPerWork * this->workWork;
}

auto FadingLine::learn(double newWork, double newMs) -> void
{
    if (!this->isKnown) {
        this->adopt(0, newMs / std::max(newWork, ShortWork));
    }
    this->work += LineWeight * (newWork - this->work);
    this->ms += LineWeight * (newMs - this->ms);
    this->workWork += LineWeight * (newWork * newWork - this->workWork);
    this->workMs += LineWeight * (newWork * newMs - this->workMs);
}

auto FadingLine::slope() const -> double
{
    const double spread = this->workWork - this->work * this->work;
    if (spread < 1) {
        return 0;
    }
    return std::max(0.0, (this->workMs - this->work * this->ms) / spread);
}

auto FadingLine::base() const -> double
{
    return std::max(0.0, this->ms - this->slope() * this->work);
}

auto Server::occupied(Instant now) const -> std::uint32_t
{
    auto others = this->peers.requests;
    if (now - this->reportedAt < ReportLifetime) {
        others = std::max(others, this->reportedOthers);
    }
    return this->own.requests + others;
}

auto ServerBook::takeEntry(const ServerEntry &entry, Duration coldFor, Instant now) -> bool
{
    auto &server = this->servers[entry.id];
    const bool known = server != nullptr && server->entry.address == entry.address
                       && server->entry.service == entry.service
                       && server->entry.bornMs == entry.bornMs;
    if (!known) {
        server = std::make_shared<Server>();
        server->number = static_cast<std::uint32_t>(
            mix64(entry.bornMs ^ (static_cast<std::uint64_t>(hashName(entry.id)) << 32U)));
        server->coldUntil = now + coldFor;
        server->entry = entry;
        this->rebuildIndex();
    }
    const bool changed =
        !known || server->entry.draining != entry.draining || server->removeAt != Never;
    server->entry = entry;
    server->removeAt = Never;
    if (entry.coldLeft > Duration(0)) {
        server->coldUntil = std::max(server->coldUntil, now + entry.coldLeft);
    }
    return changed;
}

auto ServerBook::loseEntry(std::string_view id, Instant useUntil) -> void
{
    const auto found = this->servers.find(id);
    if (found != this->servers.end()) {
        found->second->removeAt = std::min(found->second->removeAt, useUntil);
    }
}

auto ServerBook::expire(Instant now) -> std::vector<std::string>
{
    std::vector<std::string> dropped;
    std::erase_if(this->servers, [&](const auto &item) {
        if (item.second->removeAt > now) {
            return false;
        }
        dropped.push_back(item.first);
        return true;
    });
    if (!dropped.empty()) {
        this->rebuildIndex();
    }
    return dropped;
}

auto ServerBook::noteUnreachable(Server &server, Instant now) -> bool
{
    if (now < server.avoidUntil) {
        return false;
    }
    server.wasUnreachable = true;
    server.avoidFor = server.avoidFor == Duration(0)
                          ? FirstAvoidance
                          : std::min(LongestAvoidance, 2 * server.avoidFor);
    server.avoidUntil = now + server.avoidFor;
    return true;
}

auto ServerBook::noteReachable(Server &server, Duration coldFor, Instant now) -> bool
{
    server.avoidFor = Duration(0);
    server.avoidUntil = Instant(0);
    if (!server.wasUnreachable) {
        return false;
    }
    server.wasUnreachable = false;
    server.coldUntil = std::max(server.coldUntil, now + coldFor);
    return true;
}

auto ServerBook::judge(Server &server, ServerVerdict verdict, Instant now) -> bool
{
    if (verdict == ServerVerdict::Neutral) {
        return false;
    }
    auto &pace = server.pace;
    const double failed = verdict == ServerVerdict::Failed ? 1 : 0;
    pace.samples = pace.samples * SampleFade + 1;
    const double weight = std::max(FailureWeight, 1 / pace.samples);
    pace.failures += weight * (failed - pace.failures);
    if (failed == 0 || pace.samples < EjectSamples || now < server.ejectedUntil) {
        return false;
    }
    double sum = 0;
    std::size_t ejected = 0;
    const auto &others = this->ofService(server.entry.service);
    for (const auto &other : others) {
        sum += other->pace.failures;
        ejected += now < other->ejectedUntil ? 1 : 0;
    }
    const double average =
        (sum - pace.failures) / static_cast<double>(std::max<std::size_t>(1, others.size() - 1));
    if (pace.failures < std::max(EjectFailures, EjectRatio * average)
        || (ejected + 1) * EjectablePart > others.size()) {
        return false;
    }
    server.ejectedUntil = now + EjectionTime;
    pace.samples = 0;
    pace.failures = average;
    return true;
}

auto ServerBook::takePeerLoads(const std::unordered_map<std::uint32_t, ServerLoad> &loads) -> void
{
    for (const auto &[id, server] : this->servers) {
        if (server->kept) {
            continue;
        }
        const auto found = loads.find(server->number);
        server->peers = found == loads.end() ? ServerLoad{} : found->second;
    }
}

auto ServerBook::adoptPaces(const std::vector<PaceStatement> &paces) -> void
{
    for (const auto &[id, server] : this->servers) {
        auto &own = server->pace;
        if (own.firstByte.known() && own.outputMsPerToken > 0) {
            continue;
        }
        for (const auto &told : paces) {
            if (told.server != server->number) {
                continue;
            }
            if (!own.firstByte.known() && told.promptMsPerToken > 0) {
                own.firstByte.adopt(told.firstByteMs, told.promptMsPerToken);
            }
            if (own.outputMsPerToken == 0) {
                own.outputMsPerToken = told.outputMsPerToken;
            }
        }
    }
}

auto ServerBook::ofService(std::string_view service) const -> const std::vector<ServerPtr> &
{
    static const std::vector<ServerPtr> None;
    const auto found = this->byService.find(service);
    return found == this->byService.end() ? None : found->second;
}

auto ServerBook::find(std::string_view id) const -> ServerPtr
{
    const auto found = this->servers.find(id);
    return found == this->servers.end() ? nullptr : found->second;
}

auto ServerBook::findNumber(std::uint32_t number) const -> ServerPtr
{
    const auto found = this->byNumber.find(number);
    return found == this->byNumber.end() ? nullptr : found->second;
}

auto ServerBook::rebuildIndex() -> void
{
    this->byService.clear();
    this->byNumber.clear();
    for (const auto &[id, server] : this->servers) {
        this->byNumber[server->number] = server;
        this->byService[server->entry.service].push_back(server);
    }
}

} // namespace banyanring::fleet
