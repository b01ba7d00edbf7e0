/**
 * @file server_statement_fleet_tests.cpp Simulated fleets in front of servers that say that they
 * are about to stop, or that they want no requests from a node for a while.
 */
#include "banyanring/fleet/slot_allocator.h"
#include "scheduler_fixture.h"

#include <map>

namespace {

using namespace banyanring;
using namespace banyanring::test;
using fleet::SlotOutcome;

/** Schedulers of several nodes, one of which coordinates the servers, and simulated servers. */
class ServerStatementFleetFixture : public SchedulerFixtureBase
{
    CPPUNIT_TEST_SUITE(ServerStatementFleetFixture);
    CPPUNIT_TEST(servers_leaveAndTurnAway5Nodes_getWhatTheyAskFor);
    CPPUNIT_TEST(servers_leaveAndTurnAway40Nodes_getWhatTheyAskFor);
    CPPUNIT_TEST_SUITE_END();

public:
    auto servers_leaveAndTurnAway5Nodes_getWhatTheyAskFor() -> void
    {
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            this->run(5, 8, seed);
        }
    }

    auto servers_leaveAndTurnAway40Nodes_getWhatTheyAskFor() -> void
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            this->run(40, 24, seed);
        }
    }

private:
    static constexpr Duration Step = milliseconds(10);
    static constexpr Duration End = seconds(30);
    static constexpr Duration ResponseTime = milliseconds(60);
    static constexpr Duration ReplyTimeout = milliseconds(40);
    static constexpr Duration DrainTime = seconds(2); ///< Of the target for leaving servers.
    static constexpr Duration WaitSlack = milliseconds(500); ///< Of the target for waits.
    static constexpr std::size_t MaxDuringWait = 2; ///< Requests, of the target for waits.
    static constexpr Duration ReuseTime = seconds(2); ///< After a wait; requests are counted.
    static constexpr Duration StopTime = seconds(5); ///< Leaving servers restart after this time.
    static constexpr int LossPercent = 5;
    static constexpr int TicksPerStep = 5;
    static constexpr std::uint32_t Slots = 4;
    static constexpr double MinReuse = 0.5; ///< Fraction of the usual requests after a wait.
    static constexpr double Load = 0.5; ///< Fraction of the slots that requests occupy.

    class Port;

    /** A node, its connections to the servers and to the coordinator. */
    struct Node
    {
        std::unique_ptr<NodeState> state;
        std::unique_ptr<Port> port;
        std::unique_ptr<Scheduler> scheduler;
    };

    /** One start of a simulated server. */
    struct SimulatedServer
    {
        std::uint64_t startedAtMs = 1;
        Instant leavingFrom = Never;
        Instant turnsAwayFrom{};
        Instant turnsAwayUntil{};
    };

    /** What a server reported to a node. */
    struct Statements
    {
        std::vector<std::pair<Instant, Instant>> waits; ///< Time of each response, end of the wait.
        Instant leavingAt = Never;
        std::vector<Instant> arrivals;
    };

    struct Run
    {
        std::size_t node = 0;
        std::shared_ptr<FakeDispatch> dispatch;
        std::uint64_t startedAtMs = 0;
        Instant endsAt{};
    };

    struct Message
    {
        Instant due{};
        std::function<void()> deliver;
    };

    /** Connects a scheduler with the simulated servers and with the coordinator. */
    class Port : public FakeServerPort, public SlotPort
    {
    public:
        Port(ServerStatementFleetFixture &fleet, std::size_t node) : fleet(fleet), node(node) {}

        auto send(const fleet::ServerPtr &server, const std::string &attemptId,
                  OutboundRequest request, bool retryable, ExchangeObserver &observer)
            -> std::unique_ptr<Exchange> override
        {
            auto exchange =
                FakeServerPort::send(server, attemptId, std::move(request), retryable, observer);
            this->fleet.onDispatch(this->node, this->dispatches.back());
            this->dispatches.clear();
            return exchange;
        }

        auto requestSlot(fleet::SlotRequest request, const std::string &service)
            -> std::optional<fleet::SlotReply> override
        {
            request.incarnation = this->node + 1;
            request.replyAddress = std::to_string(this->node);
            if (this->node == 0) {
                return this->fleet.allocator->handleRequest(request, service, this->fleet.now);
            }
            this->fleet.sendSlotRequest(this->node, std::move(request), service);
            return std::nullopt;
        }

        auto cancelSlotRequest(std::uint64_t slotRequestId) -> void override
        {
            fleet::SlotReport report;
            report.requestId = slotRequestId;
            this->reportSlotEvent(report);
        }

        auto reportSlotEvent(fleet::SlotReport report) -> void override
        {
            report.incarnation = this->node + 1;
            this->fleet.allocator->handleReport(report, this->fleet.now);
        }

    private:
        ServerStatementFleetFixture &fleet;
        std::size_t node;
    };

    auto sendSlotRequest(std::size_t node, fleet::SlotRequest request, const std::string &service)
        -> void
    {
        if (this->chance(LossPercent)) {
            this->messages.push_back({this->now + ReplyTimeout, [this, node, id = request.id] {
                                          this->nodes[node].scheduler->onSlotTimeout(id);
                                      }});
            return;
        }
        this->messages.push_back({this->now + Step, [this, node, request, service] {
                                      const auto reply = this->allocator->handleRequest(
                                          request, service, this->now);
                                      this->nodes[node].scheduler->onSlotReply(reply);
                                  }});
    }

    auto chance(int percent) -> bool
    {
        return this->random() % 100 < static_cast<std::uint64_t>(percent);
    }

    auto nameOf(std::size_t number) const -> std::string
    {
        return "s" + std::to_string(number);
    }

    auto registerAt(Node &node, std::size_t number) -> void
    {
        const auto id = this->nameOf(number);
        node.state->servers.registerServer(
            {id, "desk", "10.0.0.1:80", "z", Slots, false, {}, this->simulated.at(id).startedAtMs},
            Duration(0), this->now);
        node.state->servers.find(id)->coordinatedHere = &node == &this->nodes.front();
    }

    auto onDispatch(std::size_t node, const std::shared_ptr<FakeDispatch> &dispatch) -> void
    {
        const auto startedAtMs = this->simulated.at(dispatch->server).startedAtMs;
        this->statements[{node, dispatch->server, startedAtMs}].arrivals.push_back(this->now);
        const auto &server = this->simulated.at(dispatch->server);
        const bool turnedAway =
            this->now >= server.turnsAwayFrom && this->now < server.turnsAwayUntil;
        this->runs.push_back(
            {node, dispatch, startedAtMs, this->now + (turnedAway ? Step : ResponseTime)});
    }

    auto answer(const Run &run) -> void
    {
        const auto &server = this->simulated.at(run.dispatch->server);
        auto &observer = *run.dispatch->observer;
        if (server.startedAtMs != run.startedAtMs) {
            observer.onExchangeFailed(ExchangeFailure::NoResponse);
            return;
        }
        auto &statement = this->statements[{run.node, run.dispatch->server, run.startedAtMs}];
        const bool turnedAway =
            this->now >= server.turnsAwayFrom && this->now < server.turnsAwayUntil;
        auto response = header(turnedAway ? 503 : 200);
        response.leaving = this->now >= server.leavingFrom;
        if (response.leaving) {
            statement.leavingAt = std::min(statement.leavingAt, this->now);
        }
        if (turnedAway) {
            response.notExecuted = true;
            response.retryAfter = milliseconds(500 + this->random() % 2500);
            statement.waits.emplace_back(this->now, this->now + *response.retryAfter);
        }
        observer.onSent();
        observer.onResponseHeader(response);
        if (!run.dispatch->cancelled) {
            observer.onResponseEnd();
        }
    }

    /** Lets servers begin to leave, restart or turn requests away at random. */
    auto changeServers() -> void
    {
        for (std::size_t number = 0; number < this->simulated.size(); ++number) {
            auto &server = this->simulated.at(this->nameOf(number));
            if (this->now >= server.leavingFrom && this->now - server.leavingFrom >= StopTime) {
                const auto startedAtMs = server.startedAtMs + 1;
                server = {};
                server.startedAtMs = startedAtMs;
                for (auto &node : this->nodes) {
                    this->registerAt(node, number);
                }
            } else if (server.leavingFrom == Never && this->random() % 2000 == 0) {
                server.leavingFrom = this->now;
            } else if (this->now >= server.turnsAwayUntil && this->random() % 300 == 0) {
                server.turnsAwayFrom = this->now;
                server.turnsAwayUntil = this->now + milliseconds(this->random() % 300);
            }
        }
    }

    auto submitRequests(std::size_t serverCount) -> void
    {
        const double perStep = Load * static_cast<double>(serverCount) * Slots * Step.count()
                               / static_cast<double>(ResponseTime.count());
        for (this->due += perStep; this->due >= 1; --this->due) {
            auto &node = this->nodes[this->random() % this->nodes.size()];
            this->callers.push_back(std::make_shared<FakeCaller>());
            node.scheduler->submit(this->callers.back(),
                                   this->request("/open/" + std::to_string(this->callers.size())));
        }
    }

    auto deliverMessages() -> void
    {
        std::vector<Message> due;
        std::erase_if(this->messages, [&](Message &message) {
            if (message.due > this->now) {
                return false;
            }
            due.push_back(std::move(message));
            return true;
        });
        for (const auto &message : due) {
            message.deliver();
        }
        for (const auto &[destination, reply] : this->allocator->grantWaiting(this->now)) {
            this->nodes.at(std::stoul(destination)).scheduler->onSlotReply(reply);
        }
    }

    auto finishRuns() -> void
    {
        std::vector<Run> ended;
        std::erase_if(this->runs, [&](const Run &run) {
            if (run.endsAt > this->now && !run.dispatch->cancelled) {
                return false;
            }
            ended.push_back(run);
            return true;
        });
        for (const auto &run : ended) {
            if (!run.dispatch->cancelled) {
                this->answer(run);
            }
        }
    }

    auto run(std::size_t nodeCount, std::size_t serverCount, std::uint64_t seed) -> void
    {
        this->start(nodeCount, serverCount, seed);
        for (int step = 0; this->now < End; ++step, this->now += Step) {
            this->changeServers();
            this->submitRequests(serverCount);
            this->deliverMessages();
            this->finishRuns();
            if (step % TicksPerStep == 0) {
                for (auto &node : this->nodes) {
                    node.scheduler->tick();
                }
            }
        }
        const auto text = std::to_string(nodeCount) + " nodes, seed " + std::to_string(seed);
        this->checkStatements(text);
        this->checkCallers(text);
        this->runs.clear();
        this->nodes.clear();
    }

    auto start(std::size_t nodeCount, std::size_t serverCount, std::uint64_t seed) -> void
    {
        this->random.seed(seed);
        this->now = Duration(0);
        this->messages.clear();
        this->statements.clear();
        this->callers.clear();
        this->simulated.clear();
        this->nodes = std::vector<Node>(nodeCount);
        for (std::size_t number = 0; number < serverCount; ++number) {
            this->simulated[this->nameOf(number)] = {};
        }
        for (std::size_t index = 0; index < nodeCount; ++index) {
            auto &node = this->nodes[index];
            node.state = std::make_unique<NodeState>(this->settings, this->now);
            node.port = std::make_unique<Port>(*this, index);
            node.scheduler = std::make_unique<Scheduler>(
                *node.state, *node.port, [this] { return this->now; }, seed * 100 + index);
            node.scheduler->setSlotPort(*node.port);
            node.state->config.update(this->config(1), this->now);
            for (std::size_t number = 0; number < serverCount; ++number) {
                this->registerAt(node, number);
            }
        }
        auto &coordinator = this->nodes.front();
        this->allocator = std::make_unique<fleet::SlotAllocator>(
            coordinator.state->servers,
            [&scheduler = *coordinator.scheduler](const fleet::Server &server, Instant time) {
                return scheduler.isUsable(server, time);
            },
            1);
    }

    auto checkStatements(const std::string &text) -> void
    {
        std::size_t waits = 0;
        std::size_t reused = 0;
        for (const auto &[key, statement] : this->statements) {
            const auto &times = statement.arrivals;
            const auto countIn = [&times](Instant from, Instant until) -> std::size_t {
                return until <= from ? 0
                                     : std::lower_bound(times.begin(), times.end(), until)
                                           - std::lower_bound(times.begin(), times.end(), from);
            };
            const auto where =
                text + " node " + std::to_string(std::get<0>(key)) + " server " + std::get<1>(key);
            if (statement.leavingAt != Never) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(where, std::size_t{0},
                                             countIn(statement.leavingAt + DrainTime, End));
            }
            for (const auto &[answeredAt, until] : statement.waits) {
                CPPUNIT_ASSERT_MESSAGE(where,
                                       countIn(answeredAt + WaitSlack, until) <= MaxDuringWait);
                if (until + ReuseTime < std::min(statement.leavingAt, End)) {
                    ++waits;
                    reused += countIn(until, until + ReuseTime);
                }
            }
        }
        CPPUNIT_ASSERT_MESSAGE(text, waits > 20);
        const double usual = Load * Slots / static_cast<double>(this->nodes.size())
                             * static_cast<double>(waits) * (ReuseTime / ResponseTime);
        CPPUNIT_ASSERT_MESSAGE(text + " after waits " + std::to_string(reused) + " of usually "
                                   + std::to_string(usual),
                               static_cast<double>(reused) >= MinReuse * usual);
    }

    auto checkCallers(const std::string &text) -> void
    {
        const auto answered =
            std::count_if(this->callers.begin(), this->callers.end(), [](const auto &caller) {
                return caller->finalResponses > 0 && caller->response.status == 200;
            });
        CPPUNIT_ASSERT_MESSAGE(text + " answered " + std::to_string(answered) + " of "
                                   + std::to_string(this->callers.size()),
                               static_cast<std::size_t>(answered) * 10 > this->callers.size() * 8);
    }

    std::vector<Node> nodes;
    std::unique_ptr<fleet::SlotAllocator> allocator;
    std::map<std::string, SimulatedServer> simulated; ///< By id.
    /** By node, server and its start time. */
    std::map<std::tuple<std::size_t, std::string, std::uint64_t>, Statements> statements;
    std::vector<Run> runs;
    std::vector<Message> messages;
    std::vector<std::shared_ptr<FakeCaller>> callers;
    std::mt19937_64 random;
    double due = 0; ///< Fractional number of requests to submit.
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(ServerStatementFleetFixture);
