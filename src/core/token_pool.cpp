/** @file token_pool.cpp Rate limits, divided into partitions owned by nodes. */
#include "banyanring/core/invariant_func.h"
#include "banyanring/core/token_pool_base.h"

#include <algorithm>
#include <cmath>

namespace banyanring {

namespace {

/** Time in which a configuration reaches every reachable node; a new partition waits that long. */
constexpr Duration ConfigPropagationTime = std::chrono::seconds(8);
/** Separates these hash keys from those of slots. */
constexpr std::uint64_t TokenKeySpace = 0x746f6b656eULL;
/** Borrowed tokens are not reserved this close to their expiry. */
constexpr Duration BorrowedExpiryMargin = std::chrono::milliseconds(500);
constexpr double MaxPartitions = 1024; ///< Partition numbers have 16 bits.
constexpr double Epsilon = 1e-9; ///< Amounts of tokens up to this count as zero.

/** @return The id of partition @p number of an organisation, whose ids are contiguous. */
auto partitionId(OrganisationId organisation, std::size_t number) -> PartitionId
{
    return PartitionId{organisation} << 16U | number;
}

/** @return Number of an organisation's partitions; depends only on configuration and settings. */
auto partitionCount(const Organisation &organisation, const NodeSettings &settings) -> std::size_t
{
    const auto byRate = std::ceil(organisation.rate / settings.partitionRate);
    const auto byBurst = std::floor(organisation.burst / settings.minPartitionBurst);
    const auto count = std::max(byRate, static_cast<double>(settings.minPartitions));
    return static_cast<std::size_t>(std::clamp(std::min(count, byBurst), 1.0, MaxPartitions));
}

} // namespace

auto TokenReservation::total() const -> double
{
    double sum = 0;
    for (const auto &portion : this->portions) {
        sum += portion.amount;
    }
    return sum;
}

TokenPool::TokenPool(const NodeSettings &nodeSettings, NodeId self)
    : settings(nodeSettings), self(self)
{
}

auto TokenPool::limitsOf(PartitionId partition) const -> std::pair<double, double>
{
    const auto &range = this->partitionRanges.at(static_cast<OrganisationId>(partition >> 16U));
    const auto count = static_cast<double>(range.count);
    return {range.rate / count, range.burst / count};
}

auto TokenPool::addPartition(PartitionId partition, Revision vmListRevision, Instant activateAfter)
    -> void
{
    const auto [rate, burst] = this->limitsOf(partition);
    this->partitions.insert_or_assign(
        partition, Partition{TokenBucket(rate, burst, {}), vmListRevision, activateAfter, false});
}

auto TokenPool::applyConfig(const Config &config, Revision vmListRevision, Instant now) -> void
{
    const bool first = this->partitionIds.empty();
    std::vector<OrganisationId> organisationIds;
    for (const auto &[id, organisation] : config.organisations) {
        organisationIds.push_back(id);
    }
    std::sort(organisationIds.begin(), organisationIds.end());
    this->partitionRanges.clear();
    this->partitionIds.clear();
    std::vector<std::uint64_t> keys;
    for (const auto id : organisationIds) {
        const auto &organisation = config.organisations.at(id);
        const auto count = partitionCount(organisation, this->settings);
        this->partitionRanges[id] = {this->partitionIds.size(), count, organisation.rate,
                                     organisation.burst};
        for (std::size_t number = 0; number < count; ++number) {
            this->partitionIds.push_back(partitionId(id, number));
            keys.push_back(mix64(this->partitionIds.back() ^ TokenKeySpace));
        }
    }
    this->ownerMap.setKeys(std::move(keys));
    auto previousPartitions = std::move(this->partitions);
    this->partitions.clear();
    for (std::size_t index = 0; index < this->partitionIds.size(); ++index) {
        const auto partition = this->partitionIds[index];
        if (this->ownerMap.owner(index) != this->self) {
            continue;
        }
        const auto previous = previousPartitions.find(partition);
        if (previous == previousPartitions.end()) {
            this->addPartition(partition, vmListRevision,
                               first ? Instant{} : now + ConfigPropagationTime);
            continue;
        }
        const auto [rate, burst] = this->limitsOf(partition);
        previous->second.bucket.setLimits(rate, burst, now);
        this->partitions.emplace(partition, previous->second);
    }
}

auto TokenPool::applyNodes(const std::vector<NodeId> &newNodes, Revision vmListRevision,
                           bool resetAll) -> void
{
    this->nodes = newNodes;
    for (const auto &change : this->ownerMap.setNodes(newNodes)) {
        const auto partition = this->partitionIds[change.key];
        if (change.to == this->self) {
            this->addPartition(partition, vmListRevision, {});
        } else if (change.from == this->self) {
            this->partitions.erase(partition);
        }
    }
    if (resetAll) {
        for (auto &[id, partition] : this->partitions) {
            this->addPartition(id, vmListRevision, {});
        }
    }
}

auto TokenPool::tick(const Membership &membership, Instant now) -> void
{
    const auto takeoverRevision = membership.takeoverRevision(now);
    for (auto &[id, partition] : this->partitions) {
        if (partition.active || takeoverRevision < partition.ownedSince || takeoverRevision == 0
            || now < partition.activateAfter) {
            continue;
        }
        const auto [rate, burst] = this->limitsOf(id);
        partition.active = true;
        partition.bucket = TokenBucket(rate, burst, now);
        // Loans and reservations of the previous owner may still be spent for one loan duration.
        partition.bucket.withhold(burst / 2, now + this->settings.tokenLoanDuration);
    }
    for (auto loan = this->grantedLoans.begin(); loan != this->grantedLoans.end();) {
        if (now < loan->second.expiresAt) {
            ++loan;
            continue;
        }
        for (const auto &[id, amount] : loan->second.portions) {
            if (const auto partition = this->partitions.find(id);
                partition != this->partitions.end()) {
                partition->second.bucket.endLoan(amount);
            }
        }
        loan = this->grantedLoans.erase(loan);
    }
}

auto TokenPool::isUsable(const Partition &partition, std::optional<Revision> leaseRevision) const
    -> bool
{
    return partition.active && leaseRevision && *leaseRevision >= partition.ownedSince;
}

auto TokenPool::reserve(OrganisationId organisation, double requested, const Membership &membership,
                        Instant now) -> TokenReservation
{
    auto reservation = this->reserveBorrowed(organisation, requested, now);
    const auto range = this->partitionRanges.find(organisation);
    if (range == this->partitionRanges.end()) {
        return reservation;
    }
    const auto leaseRevision = membership.leaseRevision(now);
    auto missing = requested - reservation.total();
    const auto end = partitionId(organisation, range->second.count);
    for (auto owned = this->partitions.lower_bound(partitionId(organisation, 0));
         owned != this->partitions.end() && owned->first < end && missing > Epsilon; ++owned) {
        if (!this->isUsable(owned->second, leaseRevision)) {
            continue;
        }
        const auto amount = std::min(missing, owned->second.bucket.available(now));
        if (amount > Epsilon && owned->second.bucket.reserve(amount, now)) {
            reservation.portions.push_back({owned->first, 0, amount, Never});
            missing -= amount;
        }
    }
    return reservation;
}

auto TokenPool::reserveBorrowed(OrganisationId organisation, double requested, Instant now)
    -> TokenReservation
{
    TokenReservation reservation;
    const auto portions = this->idleBorrowed.find(organisation);
    if (portions == this->idleBorrowed.end()) {
        return reservation;
    }
    auto missing = requested;
    for (auto &portion : portions->second) {
        const auto amount =
            now < portion.validUntil - BorrowedExpiryMargin ? std::min(missing, portion.amount) : 0;
        if (amount > Epsilon) {
            reservation.portions.push_back({0, portion.loanId, amount, portion.validUntil});
            portion.amount -= amount;
            missing -= amount;
        }
    }
    std::erase_if(portions->second, [&](const TokenPortion &portion) {
        return portion.amount <= Epsilon || now >= portion.validUntil - BorrowedExpiryMargin;
    });
    if (portions->second.empty()) {
        this->idleBorrowed.erase(portions);
    }
    return reservation;
}

auto TokenPool::spendableUntil(const TokenReservation &reservation, const Membership &membership,
                               Instant now) const -> std::optional<Instant>
{
    const auto leaseRevision = membership.leaseRevision(now);
    auto until = Never;
    for (const auto &portion : reservation.portions) {
        if (portion.loanId != 0) {
            if (now >= portion.validUntil) {
                return std::nullopt;
            }
            until = std::min(until, portion.validUntil);
            continue;
        }
        const auto partition = this->partitions.find(portion.partition);
        if (partition == this->partitions.end()
            || !this->isUsable(partition->second, leaseRevision)) {
            return std::nullopt;
        }
        until = std::min(until, membership.leaseExpiry());
    }
    return until;
}

auto TokenPool::spend(TokenReservation &reservation) -> void
{
    for (const auto &portion : reservation.portions) {
        const auto partition = this->partitions.find(portion.partition);
        if (portion.loanId == 0 && partition != this->partitions.end()) {
            partition->second.bucket.spend(portion.amount);
        }
    }
    reservation.portions.clear();
}

auto TokenPool::release(OrganisationId organisation, TokenReservation &reservation) -> void
{
    for (const auto &portion : reservation.portions) {
        if (portion.loanId != 0) {
            this->idleBorrowed[organisation].push_back(portion);
            continue;
        }
        if (const auto partition = this->partitions.find(portion.partition);
            partition != this->partitions.end()) {
            partition->second.bucket.release(portion.amount);
        }
    }
    reservation.portions.clear();
}

auto TokenPool::lend(NodeId from, const TokenLoanRequest &request, const Membership &membership,
                     Instant now) -> TokenLoanReply
{
    TokenLoanReply reply{request.loanId, request.organisation, 0, this->settings.tokenLoanDuration};
    if (const auto previous = this->grantedLoans.find({from, request.loanId});
        previous != this->grantedLoans.end()) {
        reply.amount = previous->second.amount;
        return reply;
    }
    const auto range = this->partitionRanges.find(request.organisation);
    const auto leaseRevision = membership.leaseRevision(now);
    if (range == this->partitionRanges.end() || !leaseRevision) {
        return reply;
    }
    // The lender's expiry is 5 % later than the borrower's, as clock rates of nodes differ.
    GrantedLoan granted{
        request.organisation, {}, 0, now + this->settings.tokenLoanDuration * 21 / 20};
    const auto end = partitionId(request.organisation, range->second.count);
    for (auto owned = this->partitions.lower_bound(partitionId(request.organisation, 0));
         owned != this->partitions.end() && owned->first < end; ++owned) {
        if (!this->isUsable(owned->second, leaseRevision)) {
            continue;
        }
        const auto amount = owned->second.bucket.lend(request.amount - granted.amount, now);
        if (amount > Epsilon) {
            granted.portions.emplace_back(owned->first, amount);
            granted.amount += amount;
        }
    }
    reply.amount = granted.amount;
    if (granted.amount > 0) {
        this->grantedLoans.emplace(std::pair{from, request.loanId}, std::move(granted));
    }
    return reply;
}

auto TokenPool::owners(OrganisationId organisation) const -> std::vector<NodeId>
{
    std::vector<NodeId> result;
    const auto range = this->partitionRanges.find(organisation);
    if (range == this->partitionRanges.end()) {
        return result;
    }
    for (std::size_t number = 0; number < range->second.count; ++number) {
        const auto owner = this->ownerMap.owner(range->second.first + number);
        if (owner != 0 && std::find(result.begin(), result.end(), owner) == result.end()) {
            result.push_back(owner);
        }
    }
    return result;
}

auto TokenPool::refillTime(OrganisationId organisation, double amount) const -> Duration
{
    const auto range = this->partitionRanges.find(organisation);
    if (range == this->partitionRanges.end() || range->second.rate <= 0) {
        return std::chrono::seconds(1);
    }
    const auto seconds = std::max(0.001, amount / range->second.rate);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace banyanring
