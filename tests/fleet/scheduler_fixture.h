/** @file scheduler_fixture.h Test base class: a scheduler with fake callers and servers. */
#pragma once

#include "banyanring/gateway/scheduler.h"

#include <cppunit/extensions/HelperMacros.h>

namespace banyanring::test {

using namespace banyanring::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Records the response to a caller. */
class FakeCaller : public CallerPort
{
public:
    auto sendResponse(HttpResponse response) -> void override
    {
        ++this->finalResponses;
        this->response = std::move(response);
    }
    auto beginStream(int status, const std::string &, const std::vector<HeaderField> &)
        -> void override
    {
        this->streamStatus = status;
    }
    auto sendStreamData(std::string_view data) -> void override
    {
        this->streamed.append(data);
    }
    auto endStream() -> void override
    {
        ++this->finalResponses;
        this->ended = true;
    }
    auto abort() -> void override
    {
        ++this->finalResponses;
        this->aborted = true;
    }
    auto unsentBytes() const -> std::size_t override
    {
        return this->unsent;
    }
    /** @return Value of a header field of the complete response; empty if missing. */
    auto header(std::string_view name) const -> std::string
    {
        for (const auto &[key, value] : this->response.headers) {
            if (key == name) {
                return value;
            }
        }
        return "";
    }

    HttpResponse response;
    int streamStatus = 0;
    std::string streamed;
    bool ended = false;
    bool aborted = false;
    int finalResponses = 0; ///< Number of final responses; more than one is an error.
    std::size_t unsent = 0; ///< Bytes reported as not sent yet.
};

/** A recorded dispatch. */
struct FakeDispatch
{
    std::string server;
    std::string bytes;
    ExchangeObserver *observer = nullptr;
    bool cancelled = false;
    bool paused = false;
};

/** Records the dispatches to servers. */
class FakeServerPort : public ServerPort
{
public:
    /** Records pauses and the cancellation of an exchange. */
    class FakeExchange : public Exchange
    {
    public:
        explicit FakeExchange(std::shared_ptr<FakeDispatch> dispatch)
            : dispatch(std::move(dispatch))
        {
        }
        auto pauseReading(bool paused) -> void override
        {
            this->dispatch->paused = paused;
        }
        auto cancel() -> void override
        {
            this->dispatch->cancelled = true;
        }

    private:
        std::shared_ptr<FakeDispatch> dispatch;
    };

    auto send(const fleet::ServerPtr &server, const std::string &, OutboundRequest request, bool,
              ExchangeObserver &observer) -> std::unique_ptr<Exchange> override
    {
        this->dispatches.push_back(std::make_shared<FakeDispatch>(FakeDispatch{
            server->registration.id, request.head + (request.body ? *request.body : ""), &observer,
            false, false}));
        return std::make_unique<FakeExchange>(this->dispatches.back());
    }

    std::vector<std::shared_ptr<FakeDispatch>> dispatches;
};

/** A scheduler with two engine servers (e1, e2) and two servers of a plain service (p1, p2). */
class SchedulerFixtureBase : public CppUnit::TestFixture
{
public:
    auto setUp() -> void override
    {
        this->settings.peers = {"127.0.0.1", 1};
        this->state = std::make_unique<NodeState>(this->settings, seconds(0));
        this->scheduler = std::make_unique<Scheduler>(
            *this->state, this->servers, [this] { return this->now; }, 1);
        this->state->config.update(this->config(1), this->now);
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
            fleet::RouteConfig routeConfig;
            routeConfig.name = prefix;
            routeConfig.host = "host";
            routeConfig.prefix = prefix;
            routeConfig.targets = {{service, 1}};
            routeConfig.timeout = seconds(5);
            routeConfig.latencyTarget = milliseconds(300);
            routeConfig.eventGapTarget = milliseconds(200);
            return routeConfig;
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
        this->state->servers.registerServer({id, service, "10.0.0.1:80", domain, 2, false, {}, 1},
                                            Duration(0), this->now);
    }

    auto request(const std::string &path, const std::string &key = "key-1") const -> CallerRequest
    {
        CallerRequest result;
        result.method = "POST";
        result.target = path;
        result.path = path;
        result.host = "host";
        result.attemptId = "try-1";
        result.apiKey = key;
        result.body = std::make_shared<const std::string>("body");
        result.hasBody = true;
        result.timeLeft = seconds(4);
        result.arrivedAt = this->now;
        return result;
    }

    auto submit(CallerRequest arriving) -> std::shared_ptr<FakeCaller>
    {
        auto caller = std::make_shared<FakeCaller>();
        this->requestNumber = this->scheduler->submit(caller, std::move(arriving));
        return caller;
    }

    /** Advances the clock in ticks of 50 ms. */
    auto pass(Duration time) -> void
    {
        for (const auto until = this->now + time; this->now < until;) {
            this->now += milliseconds(50);
            this->scheduler->tick();
        }
    }

    auto lastDispatch() const -> FakeDispatch &
    {
        return *this->servers.dispatches.back();
    }

    static auto header(int status, bool sealed = true) -> ServerResponse
    {
        ServerResponse response;
        response.status = status;
        response.reason = "reason";
        response.attemptId = "try-1";
        response.sealed = sealed;
        return response;
    }

    /** Sends a complete response to a dispatch. */
    static auto reply(FakeDispatch &dispatch, int status, bool sealed = true,
                      bool notExecuted = false) -> void
    {
        auto response = header(status, sealed);
        response.notExecuted = notExecuted;
        dispatch.observer->onSent();
        dispatch.observer->onResponseHeader(response);
        dispatch.observer->onResponseData("whole");
        dispatch.observer->onResponseEnd();
    }

    /** Starts a stream and sends the events with the given range of ids. */
    static auto stream(FakeDispatch &dispatch, int from, int to) -> void
    {
        dispatch.observer->onSent();
        dispatch.observer->onResponseHeader(header(200));
        for (int id = from; id <= to; ++id) {
            dispatch.observer->onResponseData("id: " + std::to_string(id) + "\ndata: x\n\n");
        }
    }

protected:
    Instant now = seconds(100);
    fleet::ProcessSettings settings;
    FakeServerPort servers;
    std::unique_ptr<NodeState> state;
    std::unique_ptr<Scheduler> scheduler;
    std::uint64_t requestNumber = 0;
};

} // namespace banyanring::test
