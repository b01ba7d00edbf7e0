/** @file ticket_store.cpp Tickets, which are idempotency keys issued by a node. */
#include "banyanring/core/ticket_store_base.h"

#include "banyanring/core/invariant_func.h"

#include <charconv>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace banyanring {

namespace {

constexpr std::size_t MaxTicketLength = 256; ///< Longer texts are rejected without parsing.
constexpr std::size_t FieldCount = 6; ///< Number of hexadecimal fields before the signature.
constexpr std::size_t MacBytes = 16; ///< Length to which the HMAC is truncated, in bytes.

/** @return @p value in hexadecimal. */
auto toHex(std::uint64_t value) -> std::string
{
    std::array<char, 17> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), value, 16).ptr;
    return {text.data(), end};
}

} // namespace

auto parseTicket(std::string_view text) -> std::optional<Ticket>
{
    if (text.size() > MaxTicketLength) {
        return std::nullopt;
    }
    std::array<std::uint64_t, FieldCount> fields{};
    for (auto &field : fields) {
        const auto dot = text.find('.');
        if (dot == std::string_view::npos) {
            return std::nullopt;
        }
        const auto digits = text.substr(0, dot);
        const auto result =
            std::from_chars(digits.data(), digits.data() + digits.size(), field, 16);
        if (result.ec != std::errc{} || result.ptr != digits.data() + digits.size()) {
            return std::nullopt;
        }
        text.remove_prefix(dot + 1);
    }
    Ticket ticket;
    ticket.node = static_cast<NodeId>(fields[0]);
    ticket.incarnation = fields[1];
    ticket.sequence = fields[2];
    ticket.expiry = static_cast<std::int64_t>(fields[3]);
    ticket.organisation = static_cast<OrganisationId>(fields[4]);
    ticket.path = static_cast<std::uint32_t>(fields[5]);
    return ticket;
}

TicketStore::TicketStore(const NodeSettings &nodeSettings, NodeId self, Incarnation incarnation,
                         TicketSecret secret)
    : settings(nodeSettings), self(self), incarnation(incarnation), secret(secret)
{
}

auto TicketStore::sign(std::string_view text) const -> std::string
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), this->secret.data(), static_cast<int>(this->secret.size()),
         reinterpret_cast<const unsigned char *>(text.data()), text.size(), mac.data(), &length);
    std::string result;
    constexpr std::string_view Digits = "0123456789abcdef";
    for (std::size_t index = 0; index < MacBytes; ++index) {
        result += Digits[mac.at(index) >> 4U];
        result += Digits[mac.at(index) & 15U];
    }
    return result;
}

auto TicketStore::issue(OrganisationId organisation, std::string_view path, Instant now)
    -> std::optional<std::string>
{
    if (this->entries.size() >= this->settings.maxTickets
        || this->storedBytes >= this->settings.maxStoredResponseBytes) {
        return std::nullopt;
    }
    this->latestExpiry = now + this->settings.ticketTtl;
    auto text = toHex(this->self) + "." + toHex(this->incarnation) + "."
                + toHex(this->nextSequence++) + "."
                + toHex(static_cast<std::uint64_t>(this->latestExpiry.count())) + "."
                + toHex(organisation) + "." + toHex(hashName(path)) + ".";
    return text + this->sign(text);
}

auto TicketStore::verify(std::string_view text, OrganisationId organisation, std::string_view path,
                         Instant now) const -> std::optional<std::uint64_t>
{
    const auto ticket = parseTicket(text);
    if (!ticket) {
        return std::nullopt;
    }
    const auto signedText = text.substr(0, text.rfind('.') + 1);
    const auto expectedMac = this->sign(signedText);
    const auto mac = text.substr(signedText.size());
    if (mac.size() != expectedMac.size()
        || CRYPTO_memcmp(mac.data(), expectedMac.data(), expectedMac.size()) != 0) {
        return std::nullopt;
    }
    const bool matches = ticket->node == this->self && ticket->incarnation == this->incarnation
                         && ticket->organisation == organisation
                         && (path.empty() || ticket->path == hashName(path));
    const bool valid = now.count() < ticket->expiry || this->entries.contains(ticket->sequence);
    return matches && valid ? std::optional(ticket->sequence) : std::nullopt;
}

auto TicketStore::getOrCreate(std::uint64_t sequence, Instant now) -> Entry &
{
    const auto [entry, created] = this->entries.try_emplace(sequence);
    if (created) {
        entry->second.expiresAt = now + this->settings.ticketTtl + this->settings.responseRetention;
        this->expiryQueue.emplace(entry->second.expiresAt, sequence);
    }
    return entry->second;
}

auto TicketStore::find(std::uint64_t sequence) -> Entry *
{
    const auto entry = this->entries.find(sequence);
    return entry == this->entries.end() ? nullptr : &entry->second;
}

auto TicketStore::storeResponse(std::uint64_t sequence, TicketAnswered response, Instant now)
    -> void
{
    auto &entry = this->entries.at(sequence);
    ensure(entry.dispatched, "an answer comes only after a dispatch");
    this->storedBytes += response.body ? response.body->size() : 0;
    entry.state = std::move(response);
    entry.expiresAt = now + this->settings.ticketTtl + this->settings.responseRetention;
}

auto TicketStore::expire(Instant now) -> void
{
    while (!this->expiryQueue.empty() && this->expiryQueue.begin()->first <= now) {
        const auto sequence = this->expiryQueue.begin()->second;
        this->expiryQueue.erase(this->expiryQueue.begin());
        auto &entry = this->entries.at(sequence);
        const bool busy = std::holds_alternative<TicketRunning>(entry.state)
                          || std::holds_alternative<TicketWaiting>(entry.state);
        if (busy || entry.expiresAt > now) {
            const auto next = busy ? now + this->settings.responseRetention : entry.expiresAt;
            this->expiryQueue.emplace(next, sequence);
            continue;
        }
        if (const auto *answered = std::get_if<TicketAnswered>(&entry.state)) {
            this->storedBytes -= answered->body ? answered->body->size() : 0;
        }
        this->entries.erase(sequence);
    }
}

} // namespace banyanring
