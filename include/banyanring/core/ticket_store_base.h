/** @file ticket_book_base.h Tickets: each is used at most once, by the incarnation that minted it.
 */
#pragma once

#include "banyanring/core/event_type.h"
#include "banyanring/core/node_settings_type.h"

#include <array>
#include <map>
#include <string_view>
#include <unordered_map>
#include <variant>

namespace banyanring {

using TicketSecret = std::array<unsigned char, 32>; ///< Secret of one incarnation.

/** What a ticket's text says. */
struct Ticket
{
    NodeId node = 0;
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
    std::int64_t expiry = 0; ///< Microseconds on the minting node's clock.
    OrganisationId organisation = 0;
    std::uint32_t path = 0; ///< nameId of the path.
};

/**
 * Reads a ticket's text without checking its authenticity.
 * @param text The text.
 * @return The ticket; nothing if the text has another form.
 */
auto parseTicket(std::string_view text) -> std::optional<Ticket>;

/** Mints tickets and remembers the used ones until nobody can come back for them. */
class TicketStore
{
public:
    /** The request waits for its dispatch. */
    struct TicketWaiting
    {
        CallId call = 0;
    };
    /** The request runs. */
    struct TicketRunning
    {
        DispatchId dispatch = 0;
        std::vector<CallId> waiters; ///< Callers that came back for the answer.
    };
    /** The answer is there. */
    struct TicketAnswered
    {
        int status = 0;
        Body body;
        std::string requestId;
        std::string contentType;
    };
    /** The request was dispatched, and no whole answer came. */
    struct TicketUnknown
    {
    };
    /** The ticket was withdrawn before any dispatch and never runs. */
    struct TicketCancelled
    {
    };
    using State = std::variant<std::monostate, TicketWaiting, TicketRunning, TicketAnswered,
                               TicketUnknown, TicketCancelled>;

    /** A used ticket. */
    struct Entry
    {
        State state; ///< monostate: not dispatched, may be tried again.
        std::uint64_t bodyDigest = 0; ///< Of its first use.
        bool dispatched = false; ///< Set once, never cleared.
        Instant expiresAt{};
    };

    /**
     * @param nodeSettings Tunable values; must outlive this object.
     * @param self This node.
     * @param incarnation This life of the process.
     * @param secret Secret of this incarnation.
     */
    TicketStore(const NodeSettings &nodeSettings, NodeId self, Incarnation incarnation,
               TicketSecret secret);

    /**
     * Mints a ticket; costs no memory.
     * @param organisation Who may use it.
     * @param path Path of the route for which it may be used.
     * @param now The present.
     * @return Its text; nothing if the book is full.
     */
    auto issue(OrganisationId organisation, std::string_view path, Instant now)
        -> std::optional<std::string>;

    /**
     * Checks that this incarnation minted a ticket, for this organisation and path, and that it is
     * either known as used or has not expired.
     * @param text The text.
     * @param organisation Who uses it.
     * @param path Path of the route; empty for any.
     * @param now The present.
     * @return Its sequence number; nothing if it is not valid.
     */
    auto verify(std::string_view text, OrganisationId organisation, std::string_view path,
                Instant now) const -> std::optional<std::uint64_t>;

    /**
     * Gives the entry of a ticket, made on its first use.
     * @param sequence Sequence number of a verified ticket.
     * @param now The present.
     * @return The entry.
     */
    auto getOrCreate(std::uint64_t sequence, Instant now) -> Entry &;

    /**
     * Finds a used ticket.
     * @param sequence Its sequence number.
     * @return The entry, or null.
     */
    auto find(std::uint64_t sequence) -> Entry *;

    /**
     * Records the answer of a ticket that runs.
     * @param sequence Its sequence number.
     * @param answer The answer.
     * @param now The present.
     */
    auto storeResponse(std::uint64_t sequence, TicketAnswered response, Instant now) -> void;

    /** @param now Used tickets that are over by then are forgotten. */
    auto expire(Instant now) -> void;

    /** @return Number of used tickets remembered. */
    auto size() const -> std::size_t
    {
        return this->entries.size();
    }
    /** @return Instant at which the last minted ticket expires. */
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
