/** @file ticket_book.cpp Tickets: each is used at most once, by the incarnation that minted it. */
#include "banyanring/core/ticket_book_base.h"

#include "banyanring/core/invariant_func.h"

#include <charconv>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace banyanring {

namespace {

constexpr std::size_t MaxTicketText = 256; ///< Longer texts are refused unread.
constexpr std::size_t FieldCount = 6; ///< Numbers before the signature.
constexpr std::size_t MacBytes = 16; ///< Bytes of the signature that are kept.

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
    if (text.size() > MaxTicketText) {
        return std::nullopt;
    }
    std::array<std::uint64_t, FieldCount> fields{};
    for (auto &field : fields) {
        const auto dot = text.find('.');
        if (dot == std::string_view::npos) {
            return std::nullopt;
        }
        const auto part = text.substr(0, dot);
        const auto result = std::from_chars(part.data(), part.data() + part.size(), field, 16);
        if (result.ec != std::errc{} || result.ptr != part.data() + part.size()) {
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

TicketBook::TicketBook(const NodeSettings &nodeSettings, NodeId self, Incarnation incarnation,
                       TicketSecret secret)
    : settings(nodeSettings), self(self), incarnation(incarnation), secret(secret)
{
}

auto TicketBook::sign(std::string_view text) const -> std::string
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

auto TicketBook::mint(OrganisationId organisation, std::string_view path, Instant now)
    -> std::optional<std::string>
{
    if (this->entries.size() >= this->settings.ticketCount
        || this->keptBytes >= this->settings.answerBytes) {
        return std::nullopt;
    }
    this->latestExpiry = now + this->settings.ticketValid;
    auto text = toHex(this->self) + "." + toHex(this->incarnation) + "."
                + toHex(this->nextSequence++) + "."
                + toHex(static_cast<std::uint64_t>(this->latestExpiry.count())) + "."
                + toHex(organisation) + "." + toHex(nameId(path)) + ".";
    return text + this->sign(text);
}

auto TicketBook::verify(std::string_view text, OrganisationId organisation, std::string_view path,
                        Instant now) const -> std::optional<std::uint64_t>
{
    const auto ticket = parseTicket(text);
    if (!ticket) {
        return std::nullopt;
    }
    const auto signedPart = text.substr(0, text.rfind('.') + 1);
    const auto wanted = this->sign(signedPart);
    const auto given = text.substr(signedPart.size());
    if (given.size() != wanted.size()
        || CRYPTO_memcmp(given.data(), wanted.data(), wanted.size()) != 0) {
        return std::nullopt;
    }
    const bool own = ticket->node == this->self && ticket->incarnation == this->incarnation
                     && ticket->organisation == organisation
                     && (path.empty() || ticket->path == nameId(path));
    const bool valid = now.count() < ticket->expiry || this->entries.contains(ticket->sequence);
    return own && valid ? std::optional(ticket->sequence) : std::nullopt;
}

auto TicketBook::use(std::uint64_t sequence, Instant now) -> Entry &
{
    const auto [entry, created] = this->entries.try_emplace(sequence);
    if (created) {
        entry->second.forgetAt = now + this->settings.ticketValid + this->settings.answerKeep;
        this->forgetOrder.emplace(entry->second.forgetAt, sequence);
    }
    return entry->second;
}

auto TicketBook::find(std::uint64_t sequence) -> Entry *
{
    const auto entry = this->entries.find(sequence);
    return entry == this->entries.end() ? nullptr : &entry->second;
}

auto TicketBook::answer(std::uint64_t sequence, TicketAnswered answer, Instant now) -> void
{
    auto &entry = this->entries.at(sequence);
    ensure(entry.dispatched, "an answer comes only after a dispatch");
    this->keptBytes += answer.body ? answer.body->size() : 0;
    entry.state = std::move(answer);
    entry.forgetAt = now + this->settings.ticketValid + this->settings.answerKeep;
}

auto TicketBook::tick(Instant now) -> void
{
    while (!this->forgetOrder.empty() && this->forgetOrder.begin()->first <= now) {
        const auto sequence = this->forgetOrder.begin()->second;
        this->forgetOrder.erase(this->forgetOrder.begin());
        auto &entry = this->entries.at(sequence);
        const bool busy = std::holds_alternative<TicketRunning>(entry.state)
                          || std::holds_alternative<TicketWaiting>(entry.state);
        if (busy || entry.forgetAt > now) {
            const auto next = busy ? now + this->settings.answerKeep : entry.forgetAt;
            this->forgetOrder.emplace(next, sequence);
            continue;
        }
        if (const auto *answered = std::get_if<TicketAnswered>(&entry.state)) {
            this->keptBytes -= answered->body ? answered->body->size() : 0;
        }
        this->entries.erase(sequence);
    }
}

} // namespace banyanring
