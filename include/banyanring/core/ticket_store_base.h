/** @file ticket_store_base.h Tickets, which are idempotency keys issued by a node. */
#pragma once

#include "banyanring/core/event_type.h"
#include "banyanring/core/node_settings_type.h"

#include <array>
#include <map>
#include <string_view>
#include <unordered_map>
#include <variant>

namespace banyanring {

using TicketSecret = std::array<unsigned char, 32>; ///< HMAC key of one incarnation.

/** Decoded text of a ticket. */
struct Ticket
{
    NodeId node = 0;
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
    std::int64_t expiry = 0; ///< Microseconds on the issuing node's clock.
    OrganisationId organisation = 0;
    std::uint32_t path = 0; ///< hashName() of the path.
};

/**
 * Parses the text of a ticket without verifying its signature.
 * @param text The text.
 * @return The ticket; nothing if the text is malformed.
 */
auto parseTicket(std::string_view text) -> std::optional<Ticket>;

/**
 * Issues tickets and stores the used ones, with their responses, until no retry can use them. A
 * ticket is an idempotency key: the incarnation that issued it dispatches it at most once.
 */
class TicketStore
{
public:
    /** The request waits for its dispatch. */
    struct TicketWaiting
    {
        CallId call = 0;
    };
    /** The request is running. */
    struct TicketRunning
    {
        DispatchId dispatch = 0;
        std::vector<CallId> waiters; ///< Further callers that wait for the response.
    };
    /** The response is stored. */
    struct TicketAnswered
    {
        int status = 0;
        Body body;
        std::string requestId;
        std::string contentType;
    };
    /** The request was dispatched, but no complete response came. */
    struct TicketUnknown
    {
    };
    /** The ticket was cancelled before any dispatch and never runs. */
    struct TicketCancelled
    {
    };
    using State = std::variant<std::monostate, TicketWaiting, TicketRunning, TicketAnswered,
                               TicketUnknown, TicketCancelled>;

    /** A used ticket. */
    struct Entry
    {
        State state; ///< monostate: not dispatched, may be used again.
        std::uint64_t bodyDigest = 0; ///< Hash of the request body of its last admitted use.
        /** A dispatch may have reached a server; cleared only if no byte was sent. */
        bool dispatched = false;
        Instant expiresAt{};
    };

    /**
     * @param nodeSettings Tunable values; must outlive this object.
     * @param self This node.
     * @param incarnation Incarnation of this process.
     * @param secret HMAC key of this incarnation.
     */
    TicketStore(const NodeSettings &nodeSettings, NodeId self, Incarnation incarnation,
                TicketSecret secret);

    /**
     * Issues a ticket; nothing is stored until its first use.
     * @param organisation Organisation that may use it.
     * @param path Path of the route for which it may be used.
     * @param now Current time.
     * @return Its text; nothing if the store is full.
     */
    auto issue(OrganisationId organisation, std::string_view path, Instant now)
        -> std::optional<std::string>;

    /**
     * Checks that this incarnation issued the ticket for this organisation and path, and that it is
     * either stored as used or not expired.
     * @param text The text.
     * @param organisation Organisation that uses it.
     * @param path Path of the route; empty to accept any.
     * @param now Current time.
     * @return Its sequence number; nothing if it is not valid.
     */
    auto verify(std::string_view text, OrganisationId organisation, std::string_view path,
                Instant now) const -> std::optional<std::uint64_t>;

    /**
     * Returns the entry of a ticket; creates it on the first use.
     * @param sequence Sequence number of a verified ticket.
     * @param now Current time.
     * @return The entry.
     */
    auto getOrCreate(std::uint64_t sequence, Instant now) -> Entry &;

    /**
     * Finds the entry of a used ticket.
     * @param sequence Its sequence number.
     * @return The entry, or null if there is none.
     */
    auto find(std::uint64_t sequence) -> Entry *;

    /**
     * Stores the response of a dispatched ticket.
     * @param sequence Its sequence number.
     * @param response The response.
     * @param now Current time.
     */
    auto storeResponse(std::uint64_t sequence, TicketAnswered response, Instant now) -> void;

    /** @param now Current time; entries that have expired are removed. */
    auto expire(Instant now) -> void;

    /** @return Number of stored entries. */
    auto size() const -> std::size_t
    {
        return this->entries.size();
    }
    /** @return Expiry time of the ticket issued last. */
    auto lastExpiry() const -> Instant
    {
        return this->latestExpiry;
    }

private:
    auto sign(std::string_view text) const -> std::string;

    const NodeSettings &settings;
    NodeId self;
    Incarnation incarnation;
    TicketSecret secret;
    std::uint64_t nextSequence = 1;
    std::uint64_t storedBytes = 0;
    Instant latestExpiry{};
    std::unordered_map<std::uint64_t, Entry> entries;
    std::multimap<Instant, std::uint64_t> expiryQueue;
};

} // namespace banyanring
