/** @file token_rights.cpp The organisations' rates and bursts, cut into parts held by nodes. */
#include "banyanring/core/invariant_func.h"
#include "banyanring/core/token_rights_base.h"

#include <algorithm>
#include <cmath>

namespace banyanring {

namespace {

/** Time in which every reachable node has a configuration; a new part waits that long. */
constexpr Duration ConfigSpread = std::chrono::seconds(8);
constexpr std::uint64_t TokenKeySpace = 0x746f6b656eULL; ///< Keeps keys apart from slots' keys.
constexpr Duration SpareMargin = std::chrono::milliseconds(500); ///< Not reserved so near its end.
constexpr double MaxParts = 1024; ///< A part's number has 16 bits.
constexpr double Epsilon = 1e-9; ///< Tokens that count as none.

/** @return The id of part @p number of @p organisation; an organisation's parts adjoin. */
auto partId(OrganisationId organisation, std::size_t number) -> PartId
{
    return PartId{organisation} << 16U | number;
}

/** @return Parts into which an organisation's rights are cut; depends on the configuration only. */
auto partCount(const Organisation &organisation, const NodeSettings &settings) -> std::size_t
{
    const auto byRate = std::ceil(organisation.rate / settings.partRate);
    const auto byBurst = std::floor(organisation.burst / settings.minPartBurst);
    const auto wanted = std::max(byRate, static_cast<double>(settings.minParts));
    return static_cast<std::size_t>(std::clamp(std::min(wanted, byBurst), 1.0, MaxParts));
}

} // namespace

auto TokenHold::total() const -> double
{
    double sum = 0;
    for (const auto &piece : this->pieces) {
        sum += piece.amount;
    }
    return sum;
}

TokenRights::TokenRights(const NodeSettings &nodeSettings, NodeId self)
    : settings(nodeSettings), self(self)
{
}

auto TokenRights::sizeOf(PartId part) const -> std::pair<double, double>
{
    const auto &share = this->shares.at(static_cast<OrganisationId>(part >> 16U));
    const auto count = static_cast<double>(share.count);
    return {share.rate / count, share.burst / count};
}

auto TokenRights::own(PartId part, Revision list, Instant notBefore) -> void
{
    const auto [rate, burst] = this->sizeOf(part);
    this->buckets.insert_or_assign(part,
                                   Part{TokenBucket(rate, burst, {}), list, notBefore, false});
}

auto TokenRights::takeConfig(const Config &config, Revision list, Instant now) -> void
{
    const bool first = this->partIds.empty();
    std::vector<OrganisationId> order;
    for (const auto &[id, organisation] : config.organisations) {
        order.push_back(id);
    }
    std::sort(order.begin(), order.end());
    this->shares.clear();
    this->partIds.clear();
    std::vector<std::uint64_t> keys;
    for (const auto id : order) {
        const auto &organisation = config.organisations.at(id);
        const auto count = partCount(organisation, this->settings);
        this->shares[id] = {this->partIds.size(), count, organisation.rate, organisation.burst};
        for (std::size_t number = 0; number < count; ++number) {
            this->partIds.push_back(partId(id, number));
            keys.push_back(mix64(this->partIds.back() ^ TokenKeySpace));
        }
    }
    this->holderMap.setKeys(std::move(keys));
    auto kept = std::move(this->buckets);
    this->buckets.clear();
    for (std::size_t index = 0; index < this->partIds.size(); ++index) {
        const auto part = this->partIds[index];
        if (this->holderMap.holder(index) != this->self) {
            continue;
        }
        const auto old = kept.find(part);
        if (old == kept.end()) {
            this->own(part, list, first ? Instant{} : now + ConfigSpread);
            continue;
        }
        const auto [rate, burst] = this->sizeOf(part);
        old->second.bucket.setLimits(rate, burst, now);
        this->buckets.emplace(part, old->second);
    }
}

auto TokenRights::takeNodes(const std::vector<NodeId> &newNodes, Revision list, bool allMoved)
    -> void
{
    this->nodes = newNodes;
    for (const auto &change : this->holderMap.setNodes(newNodes)) {
        const auto part = this->partIds[change.key];
        if (change.to == this->self) {
            this->own(part, list, {});
        } else if (change.from == this->self) {
            this->buckets.erase(part);
        }
    }
    if (allMoved) {
        for (auto &[id, part] : this->buckets) {
            this->own(id, list, {});
        }
    }
}

auto TokenRights::tick(const Membership &members, Instant now) -> void
{
    const auto settled = members.settledRevision(now);
    for (auto &[id, part] : this->buckets) {
        if (part.active || settled < part.heldSince || settled == 0 || now < part.notBefore) {
            continue;
        }
        const auto [rate, burst] = this->sizeOf(id);
        part.active = true;
        part.bucket = TokenBucket(rate, burst, now);
        // The earlier holder's loans and reservations may still be spent for a loan's length.
        part.bucket.holdBack(burst / 2, now + this->settings.tokenLoan);
    }
    for (auto loan = this->given.begin(); loan != this->given.end();) {
        if (now < loan->second.until) {
            ++loan;
            continue;
        }
        for (const auto &[index, amount] : loan->second.pieces) {
            if (const auto part = this->buckets.find(index); part != this->buckets.end()) {
                part->second.bucket.endLoan(amount);
            }
        }
        loan = this->given.erase(loan);
    }
}

auto TokenRights::usable(const Part &part, std::optional<Revision> anchor) const -> bool
{
    return part.active && anchor && *anchor >= part.heldSince;
}

auto TokenRights::reserve(OrganisationId organisation, double wanted, const Membership &members,
                          Instant now) -> TokenHold
{
    auto hold = this->reserveSpare(organisation, wanted, now);
    const auto share = this->shares.find(organisation);
    if (share == this->shares.end()) {
        return hold;
    }
    const auto anchor = members.anchor(now);
    auto missing = wanted - hold.total();
    const auto end = partId(organisation, share->second.count);
    for (auto held = this->buckets.lower_bound(partId(organisation, 0));
         held != this->buckets.end() && held->first < end && missing > Epsilon; ++held) {
        if (!this->usable(held->second, anchor)) {
            continue;
        }
        const auto amount = std::min(missing, held->second.bucket.available(now));
        if (amount > Epsilon && held->second.bucket.reserve(amount, now)) {
            hold.pieces.push_back({held->first, 0, amount, Never});
            missing -= amount;
        }
    }
    return hold;
}

auto TokenRights::reserveSpare(OrganisationId organisation, double wanted, Instant now) -> TokenHold
{
    TokenHold hold;
    const auto pieces = this->spare.find(organisation);
    if (pieces == this->spare.end()) {
        return hold;
    }
    auto missing = wanted;
    for (auto &piece : pieces->second) {
        const auto amount = now < piece.until - SpareMargin ? std::min(missing, piece.amount) : 0;
        if (amount > Epsilon) {
            hold.pieces.push_back({0, piece.loan, amount, piece.until});
            piece.amount -= amount;
            missing -= amount;
        }
    }
    std::erase_if(pieces->second, [&](const TokenPiece &piece) {
        return piece.amount <= Epsilon || now >= piece.until - SpareMargin;
    });
    if (pieces->second.empty()) {
        this->spare.erase(pieces);
    }
    return hold;
}

auto TokenRights::spendableUntil(const TokenHold &hold, const Membership &members,
                                 Instant now) const -> std::optional<Instant>
{
    const auto anchor = members.anchor(now);
    auto until = Never;
    for (const auto &piece : hold.pieces) {
        if (piece.loan != 0) {
            if (now >= piece.until) {
                return std::nullopt;
            }
            until = std::min(until, piece.until);
            continue;
        }
        const auto part = this->buckets.find(piece.part);
        if (part == this->buckets.end() || !this->usable(part->second, anchor)) {
            return std::nullopt;
        }
        until = std::min(until, members.anchorUntil());
    }
    return until;
}

auto TokenRights::spend(TokenHold &hold) -> void
{
    for (const auto &piece : hold.pieces) {
        const auto part = this->buckets.find(piece.part);
        if (piece.loan == 0 && part != this->buckets.end()) {
            part->second.bucket.spend(piece.amount);
        }
    }
    hold.pieces.clear();
}

auto TokenRights::release(OrganisationId organisation, TokenHold &hold) -> void
{
    for (const auto &piece : hold.pieces) {
        if (piece.loan != 0) {
            this->spare[organisation].push_back(piece);
            continue;
        }
        if (const auto part = this->buckets.find(piece.part); part != this->buckets.end()) {
            part->second.bucket.release(piece.amount);
        }
    }
    hold.pieces.clear();
}

auto TokenRights::lend(NodeId from, const TokenLoanAsk &ask, const Membership &members, Instant now)
    -> TokenLoan
{
    TokenLoan loan{ask.loan, ask.organisation, 0, this->settings.tokenLoan};
    if (const auto old = this->given.find({from, ask.loan}); old != this->given.end()) {
        loan.amount = old->second.amount;
        return loan;
    }
    const auto share = this->shares.find(ask.organisation);
    const auto anchor = members.anchor(now);
    if (share == this->shares.end() || !anchor) {
        return loan;
    }
    // The lender counts the loan for longer than the borrower may use it, for unlike clock rates.
    Given record{ask.organisation, {}, 0, now + this->settings.tokenLoan * 21 / 20};
    const auto end = partId(ask.organisation, share->second.count);
    for (auto held = this->buckets.lower_bound(partId(ask.organisation, 0));
         held != this->buckets.end() && held->first < end; ++held) {
        if (!this->usable(held->second, anchor)) {
            continue;
        }
        const auto amount = held->second.bucket.lend(ask.amount - record.amount, now);
        if (amount > Epsilon) {
            record.pieces.emplace_back(held->first, amount);
            record.amount += amount;
        }
    }
    loan.amount = record.amount;
    if (record.amount > 0) {
        this->given.emplace(std::pair{from, ask.loan}, std::move(record));
    }
    return loan;
}

auto TokenRights::holders(OrganisationId organisation) const -> std::vector<NodeId>
{
    std::vector<NodeId> result;
    const auto share = this->shares.find(organisation);
    if (share == this->shares.end()) {
        return result;
    }
    for (std::size_t part = 0; part < share->second.count; ++part) {
        const auto holder = this->holderMap.holder(share->second.first + part);
        if (holder != 0 && std::find(result.begin(), result.end(), holder) == result.end()) {
            result.push_back(holder);
        }
    }
    return result;
}

auto TokenRights::waitFor(OrganisationId organisation, double amount) const -> Duration
{
    const auto share = this->shares.find(organisation);
    if (share == this->shares.end() || share->second.rate <= 0) {
        return std::chrono::seconds(1);
    }
    const auto seconds = std::max(0.001, amount / share->second.rate);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace banyanring
