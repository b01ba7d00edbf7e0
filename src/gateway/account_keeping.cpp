/** @file account_keeping.cpp Keeps organisations' accounts for all nodes. */
#include "banyanring/gateway/account_keeping.h"

#include "banyanring/gateway/gossip_codec.h"
#include "banyanring/ports/clock_func.h"

namespace banyanring::gateway {

namespace {

using std::chrono::milliseconds;

/** One may die at any time; the other then still knows the account. */
constexpr std::size_t Keepers = 2;
/** Far from its limit an organisation's admissions are reported this often at most. */
constexpr Duration ReportInterval = milliseconds(200);
/** An answer takes a few milliseconds; longer means that the keepers are lost. */
constexpr Duration AnswerPatience = milliseconds(30);
constexpr Duration IdleAfter = std::chrono::seconds(60); ///< Longer than any limit's window.

} // namespace

AccountKeeping::AccountKeeping(PeerSocket &socket, NodeBooks &books, std::string self,
                               std::uint64_t incarnation, std::function<void(std::uint64_t)> onTold)
    : socket(socket), books(books), self(std::move(self)), incarnation(incarnation),
      onTold(std::move(onTold))
{
    socket.handleDecoded(PeerMessage::Report, decodeReport,
                         [this](const fleet::SpendReport &report, const std::string &from) {
                             this->takeReport(report, from);
                         });
    socket.handleDecoded(PeerMessage::Total, decodeAnswer,
                         [this](const fleet::SpendAnswer &answer, const std::string &from) {
                             this->takeAnswer(answer, from);
                         });
}

auto AccountKeeping::askSpent(std::uint64_t run, const fleet::OrganisationRule &organisation,
                              double units) -> bool
{
    const auto now = bootClockNow();
    const auto id = nameId(organisation.name);
    auto &account = this->accounts[id];
    const auto part = this->books.members.reachablePart(now);
    if (!this->books.quotas.nearLimit(organisation, units, part, now)) {
        account.due = true;
        if (now - account.reportedAt >= ReportInterval) {
            this->report(id, account, 0, now);
        }
        return false;
    }
    const auto question = ++this->lastQuestion;
    account.pending += units;
    if (!this->report(id, account, question, now)) {
        account.pending -= units;
        return false;
    }
    this->questions[question] = {run, id, units, now + AnswerPatience};
    account.due = true;
    return true;
}

auto AccountKeeping::settle(std::map<std::uint64_t, Question>::iterator question) -> void
{
    const auto settled = question->second;
    this->questions.erase(question);
    this->accounts[settled.organisation].pending -= settled.units;
    this->onTold(settled.run);
}

auto AccountKeeping::report(std::uint32_t organisation, Account &account, std::uint64_t question,
                            Instant now) -> bool
{
    account.keepers = this->books.members.keepers(organisation, Keepers, now);
    account.reportedAt = now;
    account.due = false;
    const auto bytes =
        encodeReport({this->incarnation, question,
                      this->books.quotas.ownSpend(organisation, account.pending, now)});
    bool sent = false;
    for (const auto &keeper : account.keepers) {
        if (keeper != this->self) {
            this->socket.send(keeper, PeerMessage::Report, bytes);
            sent = true;
        }
    }
    return sent;
}

auto AccountKeeping::tick(Instant now) -> void
{
    while (!this->questions.empty() && this->questions.begin()->second.until <= now) {
        this->settle(this->questions.begin());
    }
    for (auto &[organisation, account] : this->accounts) {
        if (now - account.reportedAt < ReportInterval) {
            continue;
        }
        if (account.due
            || account.keepers != this->books.members.keepers(organisation, Keepers, now)) {
            this->report(organisation, account, 0, now);
        }
    }
    std::erase_if(this->accounts,
                  [now](const auto &item) { return now - item.second.reportedAt > IdleAfter; });
}

auto AccountKeeping::takeReport(const fleet::SpendReport &report, const std::string &from) -> void
{
    const auto now = bootClockNow();
    auto &quotas = this->books.quotas;
    quotas.takePeer(report.incarnation, {report.spend}, now);
    if (report.question != 0) {
        const auto part = this->books.members.reachablePart(now);
        const auto total =
            quotas.totalFor(report.spend.organisation, report.incarnation, part, now);
        this->socket.send(from, PeerMessage::Total, encodeAnswer({report.question, total}));
    }
}

auto AccountKeeping::takeAnswer(const fleet::SpendAnswer &answer, const std::string &from) -> void
{
    this->books.quotas.takeTotal(nameId(from), answer.total, bootClockNow());
    const auto found = this->questions.find(answer.question);
    if (found != this->questions.end()) {
        this->settle(found);
    }
}

} // namespace banyanring::gateway
