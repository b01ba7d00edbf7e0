/** @file account_keeping.h Keeps organisations' accounts for all nodes, and asks those who do. */
#pragma once

#include "banyanring/gateway/peer_socket.h"
#include "banyanring/gateway/scheduler.h"

namespace banyanring::gateway {

/**
 * Two nodes keep each organisation's account, chosen by hash among the nodes in contact. The
 * others report to them what they admit, and ask first when a request might pass the limit.
 */
class AccountKeeping : public AdvicePort
{
public:
    /**
     * @param socket Carries reports and answers; must outlive this object.
     * @param books What the decisions stand on; must outlive this object.
     * @param self Peer address of this node.
     * @param incarnation This start of the process.
     * @param onTold Called with the run of a question that was answered, or never will be.
     */
    AccountKeeping(PeerSocket &socket, NodeBooks &books, std::string self,
                   std::uint64_t incarnation, std::function<void(std::uint64_t)> onTold);

    auto askSpent(std::uint64_t run, const fleet::OrganisationRule &organisation, double units)
        -> bool override;

    /** Gives up on late answers and reports what is due; to be called some times a second. */
    auto tick(Instant now) -> void;

private:
    /** What this node has told of an organisation. */
    struct Account
    {
        Instant reportedAt{}; ///< When it last reported.
        bool due = false; ///< Something has changed since.
        double pending = 0; ///< Units of its questions that await an answer.
        std::vector<std::string> keepers; ///< To whom.
    };

    /** A question that awaits its answer. */
    struct Question
    {
        std::uint64_t run = 0; ///< The run that waits.
        std::uint32_t organisation = 0; ///< hashName of the organisation.
        double units = 0; ///< Units of the request.
        Instant until{}; ///< It waits no longer.
    };

    auto report(std::uint32_t organisation, Account &account, std::uint64_t question, Instant now)
        -> bool;
    auto settle(std::map<std::uint64_t, Question>::iterator question) -> void;
    auto takeReport(const fleet::SpendReport &report, const std::string &from) -> void;
    auto takeAnswer(const fleet::SpendAnswer &answer, const std::string &from) -> void;

    PeerSocket &socket;
    NodeBooks &books;
    std::string self;
    std::uint64_t incarnation;
    std::function<void(std::uint64_t)> onTold;
    std::unordered_map<std::uint32_t, Account> accounts; ///< By hashName of the organisation.
    std::map<std::uint64_t, Question> questions; ///< By number, oldest first.
    std::uint64_t lastQuestion = 0;
};

} // namespace banyanring::gateway
