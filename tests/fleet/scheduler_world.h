/** @file scheduler_world.h A node with stand-ins for its callers and servers. */
#pragma once

#include "banyanring/gateway/scheduler.h"

#include <cppunit/extensions/HelperMacros.h>

namespace banyanring::test {

using namespace banyanring::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Records what a caller got. */
class FakeCaller : public CallerPort
{
public:
    auto answer(WholeAnswer given) -> void override
    {
        ++this->finals;
        this->whole = std::move(given);
    }
    auto beginStream(int status, const std::string &, const std::vector<HeaderField> &)
        -> void override
    {
        this->streamStatus = status;
    }
    auto streamData(std::string_view data) -> void override
    {
        this->stream.append(data);
    }
    auto endStream() -> void override
    {
        ++this->finals;
        this->ended = true;
    }
    auto abort() -> void override
    {
        ++this->finals;
        this->aborted = true;
    }
    auto unsent() const -> std::size_t override
    {
        return this->untaken;
    }
    /** @return A header of the whole answer. */
    auto header(std::string_view name) const -> std::string
    {
        for (const auto &[key, value] : this->whole.headers) {
            if (key == name) {
                return value;
            }
        }
        return "";
    }

    WholeAnswer whole;
    int streamStatus = 0;
    std::string stream;
    bool ended = false;
    bool aborted = false;
    int finals = 0; ///< Final answers; more than one is a fault.
    std::size_t untaken = 0; ///< Bytes that it has not taken.
};

/** One recorded dispatch. */
struct FakeSend
{
    std::string server;
    std::string bytes;
    ExchangeListener *listener = nullptr;
    bool cancelled = false;
    bool paused = false;
};

/** Records what was sent to servers. */
class FakeServers : public ServerPort
{
public:
    /** Tells when its exchange is cancelled. */
    class FakeExchange : public Exchange
    {
    public:
        explicit FakeExchange(std::shared_ptr<FakeSend> send) : send(std::move(send)) {}
        auto pauseReading(bool paused) -> void override
        {
            this->send->paused = paused;
        }
        auto cancel() -> void override
        {
            this->send->cancelled = true;
        }

    private:
        std::shared_ptr<FakeSend> send;
    };

    auto send(const fleet::ServerPtr &server, const std::string &, std::string bytes, bool,
              ExchangeListener &listener) -> std::unique_ptr<Exchange> override
    {
        this->sends.push_back(std::make_shared<FakeSend>(
            FakeSend{server->registration.id, std::move(bytes), &listener, false, false}));
        return std::make_unique<FakeExchange>(this->sends.back());
    }

    std::vector<std::shared_ptr<FakeSend>> sends;
};

/** A node with two servers of an engine and two of a plain service. */
class SchedulerWorld : public CppUnit::TestFixture
{
public:
    auto setUp() -> void override
    {
        this->environment.peers = {"127.0.0.1", 1};
        this->books = std::make_unique<NodeBooks>(this->environment, seconds(0));
        this->scheduler = std::make_unique<Scheduler>(
            *this->books, this->servers, [this] { return this->now; }, 1);
        this->books->config.update(this->config(1), this->now);
        this->addServer("e1", "llm", "z1");
        this->addServer("e2", "llm", "z2");
        this->addServer("p1", "desk", "z1");
        this->addServer("p2", "desk", "z2");
    }

    auto config(std::uint64_t version) const -> std::shared_ptr<fleet::FleetConfig>
    {
        auto result = std::make_shared<fleet::FleetConfig>();
        result->version = version;
        const auto route = [&](const std::string &prefix, const std::string &service) {
            fleet::RouteConfig rule;
            rule.name = prefix;
            rule.host = "host";
            rule.prefix = prefix;
            rule.targets = {{service, 1}};
            rule.timeout = seconds(5);
            rule.latencyTarget = milliseconds(300);
            rule.eventGapTarget = milliseconds(200);
            return rule;
        };
        auto order = route("/order/", "desk");
        auto lookup = route("/lookup/", "desk");
        lookup.idempotent = true;
        lookup.maxAttempts = 2;
        auto draft = route("/draft/", "llm");
        draft.streaming = true;
        auto clause = route("/clause/", "llm");
        clause.streaming = true;
        clause.resumable = true;
        clause.maxAttempts = 2;
        clause.tier = 1;
        auto open = route("/open/", "desk");
        open.anonymous = true;
        result->routes["host"] = {order, lookup, draft, clause, open};
        result->services["llm"] = {"llm", 100, seconds(3), 13, true, 5};
        result->services["desk"] = {"desk", 100, Duration(0), 0, false, 1};
        result->organisations["red"] = {"red", std::nullopt, 1000, 1000, 10, true};
        result->organisationByKey["key-1"] = "red";
        result->keyRequired = true;
        return result;
    }

    auto addServer(const std::string &id, const std::string &service, const std::string &domain)
        -> void
    {
        this->books->servers.registerServer({id, service, "10.0.0.1:80", domain, 2, false, {}, 1},
                                            Duration(0), this->now);
    }

    auto request(const std::string &path, const std::string &key = "key-1") const -> CallerRequest
    {
        CallerRequest result;
        result.method = "POST";
        result.target = path;
        result.path = path;
        result.host = "host";
        result.id = "try-1";
        result.key = key;
        result.body = "body";
        result.hasLength = true;
        result.timeLeft = seconds(4);
        result.arrivedAt = this->now;
        return result;
    }

    auto start(CallerRequest arriving) -> std::shared_ptr<FakeCaller>
    {
        auto caller = std::make_shared<FakeCaller>();
        this->run = this->scheduler->accept(caller, std::move(arriving));
        return caller;
    }

    /** Lets some time pass in ticks. */
    auto pass(Duration time) -> void
    {
        for (const auto until = this->now + time; this->now < until;) {
            this->now += milliseconds(50);
            this->scheduler->tick();
        }
    }

    auto last() const -> FakeSend &
    {
        return *this->servers.sends.back();
    }

    static auto head(int status, bool sealed = true) -> ServerAnswer
    {
        ServerAnswer answer;
        answer.status = status;
        answer.reason = "reason";
        answer.id = "try-1";
        answer.sealed = sealed;
        return answer;
    }

    /** Answers a dispatch as a whole. */
    static auto reply(FakeSend &send, int status, bool sealed = true, bool notRun = false) -> void
    {
        auto answer = head(status, sealed);
        answer.notRun = notRun;
        send.listener->onSent();
        send.listener->onAnswerHead(answer);
        send.listener->onAnswerData("whole");
        send.listener->onAnswerEnd();
    }

    /** Begins a stream and sends events from one id to another. */
    static auto stream(FakeSend &send, int from, int to) -> void
    {
        send.listener->onSent();
        send.listener->onAnswerHead(head(200));
        for (int id = from; id <= to; ++id) {
            send.listener->onAnswerData("id: " + std::to_string(id) + "\ndata: x\n\n");
        }
    }

protected:
    Instant now = seconds(100);
    fleet::ProcessSettings environment;
    FakeServers servers;
    std::unique_ptr<NodeBooks> books;
    std::unique_ptr<Scheduler> scheduler;
    std::uint64_t run = 0;
};

} // namespace banyanring::test
