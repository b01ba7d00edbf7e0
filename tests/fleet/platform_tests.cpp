/** @file platform_tests.cpp Tests of settings, store items, headers and messages between nodes. */
#include "banyanring/gateway/gossip_codec.h"
#include "platform_endpoints.h"
#include "request_headers.h"
#include "settings_file.h"
#include "store_codec.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace banyanring;
using namespace banyanring::platform;
using std::chrono::milliseconds;
using std::chrono::seconds;
namespace http = boost::beast::http;

constexpr auto SettingsText = "node_name=n-1\n"
                              "ip=10.1.0.2\n"
                              "zone=z-a\n"
                              "zones.z-a=r\n"
                              "zones.z-b=r\n"
                              "listen.front=10.1.0.2:81\n"
                              "listen.ready=10.1.0.2:82\n"
                              "listen.control=10.1.0.2:83\n"
                              "listen.directory=10.1.0.2:84\n"
                              "port_range=7600,7615\n"
                              "seeds=10.1.0.2:83,10.2.0.2:83\n"
                              "platform.address=10.9.0.1:90\n"
                              "bounds.grace_s=8\n"
                              "bounds.drain_ms=2500\n"
                              "a.new.field=whatever\n";

/** Tests of parseSettings(). */
class SettingsFileFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsFileFixture);
    CPPUNIT_TEST(parse_completeFile_returnsSettings);
    CPPUNIT_TEST(parse_missingField_errorNamesField);
    CPPUNIT_TEST(parse_malformedNumber_errorNamesLine);
    CPPUNIT_TEST(parse_lineWithoutEquals_errorNamesLine);
    CPPUNIT_TEST_SUITE_END();

public:
    /** @return Message of the parse error; empty if there is none. */
    static auto parseError(const std::string &text) -> std::string
    {
        try {
            parseSettings(text);
            return "";
        } catch (const SettingsFileError &error) {
            return error.what();
        }
    }

    auto parse_completeFile_returnsSettings() -> void
    {
        const auto settings = parseSettings(SettingsText);
        CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.2:81"), settings.entry.text());
        CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.2:83"), settings.peers.text());
        CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.2:7601"), settings.metrics.text());
        CPPUNIT_ASSERT_EQUAL(std::string("10.9.0.1:90"), settings.store.text());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, settings.seeds.size());
        CPPUNIT_ASSERT(settings.bounds.stopGrace == seconds(8));
    }

    auto parse_missingField_errorNamesField() -> void
    {
        CPPUNIT_ASSERT(parseError("node_name=n\nip=1.2.3.4\n").find("listen.front")
                       != std::string::npos);
    }

    auto parse_malformedNumber_errorNamesLine() -> void
    {
        const auto error = parseError(std::string(SettingsText) + "bounds.quota_slack=many\n");
        CPPUNIT_ASSERT(error.find("line 16: bounds.quota_slack") != std::string::npos);
    }

    auto parse_lineWithoutEquals_errorNamesLine() -> void
    {
        CPPUNIT_ASSERT(parseError("node_name=n\nrubbish\n").find("line 2") != std::string::npos);
    }
};

/** Tests of decoding the store's items and responses. */
class StoreCodecFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreCodecFixture);
    CPPUNIT_TEST(config_complete_isDecoded);
    CPPUNIT_TEST(config_malformed_throws);
    CPPUNIT_TEST(server_draining_isDecoded);
    CPPUNIT_TEST(server_malformedEntries_throw);
    CPPUNIT_TEST(range_page_isDecoded);
    CPPUNIT_TEST(watch_changes_areDecoded);
    CPPUNIT_TEST(key_prefixes_areClassified);
    CPPUNIT_TEST_SUITE_END();

public:
    auto config_complete_isDecoded() -> void
    {
        const auto config = decodeConfig(
            R"({"version":7,"routes":[
                {"name":"r1","hostname":"h","prefix":"/a/","route_type":"streaming",
                 "timeout_ms":15000,"target_latency_ms":300,"priority":1,"resumable":true,
                 "traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
                 "max_attempts":2,"anonymous":false,"sticky":true,"gap_target_ms":200},
                {"hostname":"h","prefix":"/a/b/","route_type":"idempotent","service":"s2"}],
              "services":[{"name":"s1","max_connections":9,"cold_s":3.0,"cold_per_s":13.0,
                           "engine":{"slots":11,"stride":5}},{"name":"s2"}],
              "limits":{"max_header_bytes":1000,"max_body_bytes":2000,"header_timeout_ms":3000,
                        "idle_timeout_ms":15000},
              "tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1,"unit":"tokens",
                          "plain_tokens":200,"rate_per_s":10,"burst":20}]})");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, config->version);
        const auto &routes = config->routes.at("h");
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b/"), routes[0].prefix);
        CPPUNIT_ASSERT(routes[0].idempotent);
        CPPUNIT_ASSERT(routes[1].isRetryable());
        CPPUNIT_ASSERT_EQUAL(90U, routes[1].targets[0].weight);
        CPPUNIT_ASSERT(routes[1].timeout == seconds(15));
        CPPUNIT_ASSERT(config->services.at("s1").engine);
        CPPUNIT_ASSERT_EQUAL(5.0, config->services.at("s1").tokensPerEvent);
        CPPUNIT_ASSERT(!config->services.at("s2").engine);
        CPPUNIT_ASSERT_EQUAL(std::string("t"), config->organisationByKey.at("k2"));
        CPPUNIT_ASSERT(config->organisations.at("t").countsTokens);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2000}, config->limits.maxBodyBytes);
    }

    auto config_malformed_throws() -> void
    {
        CPPUNIT_ASSERT_THROW(decodeConfig("{"), StoreCodecError);
        CPPUNIT_ASSERT_THROW(decodeConfig(R"({"version":"x","routes":[]})"), StoreCodecError);
        CPPUNIT_ASSERT_THROW(decodeConfig(R"({"version":1,"routes":[{"prefix":"/"}]})"),
                             StoreCodecError);
    }

    auto server_draining_isDecoded() -> void
    {
        const auto entry =
            decodeServer("i-1", R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":11,
                       "state":"draining","cold_left_ms":1500,"seq":4,"born":99})");
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), entry.id);
        CPPUNIT_ASSERT(entry.draining);
        CPPUNIT_ASSERT(entry.coldRemaining == milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{99}, entry.startedAtMs);
    }

    auto server_malformedEntries_throw() -> void
    {
        for (const auto *text :
             {"", "\xff\xfe", "[]", "7", R"({"service":"s"})",
              R"({"service":"s","address":"a:1","zone":"z","slots":"x","state":"ready"})",
              R"({"service":"s","address":"a:1","zone":"z","slots":1,"state":"odd"})",
              R"({"service":"s","address":"a","zone":"z","slots":1,"state":"ready"})",
              R"({"service":5,"address":"a:1","zone":"z","slots":1,"state":"ready"})"}) {
            CPPUNIT_ASSERT_THROW_MESSAGE(text, decodeServer("i-1", text), StoreCodecError);
        }
    }

    auto range_page_isDecoded() -> void
    {
        const auto page = decodeRangePage(
            R"({"entries":[{"key":"servers/a","value":"bm9kZS0x","mod_revision":412},
                           {"key":"servers/b","value":"","mod_revision":413}],
                "more_pages":true,"as_of":530})");
        CPPUNIT_ASSERT_EQUAL(std::string("node-1"), page.items.at("servers/a").value);
        CPPUNIT_ASSERT_EQUAL(std::string("servers/b"), page.lastKey);
        CPPUNIT_ASSERT(page.hasMore);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{530}, page.revision);
        CPPUNIT_ASSERT_THROW(decodeRangePage("{}"), StoreCodecError);
    }

    auto watch_changes_areDecoded() -> void
    {
        const auto batch = decodeWatchBatch(
            R"({"events":[{"key":"my/leader","value":"bm9kZS0x","mod_revision":412},
                          {"key":"my/old","mod_revision":413,"removed":true}],"as_of":413})");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, batch.changes.size());
        CPPUNIT_ASSERT(!batch.changes[0].removed);
        CPPUNIT_ASSERT(batch.changes[1].removed);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{413}, batch.revision);
    }

    auto key_prefixes_areClassified() -> void
    {
        CPPUNIT_ASSERT(classifyKey("op/config").first == KeyKind::Config);
        CPPUNIT_ASSERT(classifyKey("op/evacuate/z").first == KeyKind::EvacuatedDomain);
        CPPUNIT_ASSERT_EQUAL(std::string("z"), std::string(classifyKey("op/evacuate/z").second));
        CPPUNIT_ASSERT(classifyKey("servers/i-1").first == KeyKind::Server);
        CPPUNIT_ASSERT(classifyKey("op/other").first == KeyKind::Other);
    }
};

/** Tests of request and response headers and of messages between nodes. */
class MessageCodecFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MessageCodecFixture);
    CPPUNIT_TEST(request_allHeaders_areDecoded);
    CPPUNIT_TEST(request_promptParts_allButTheLastAreShared);
    CPPUNIT_TEST(request_forgedHeaders_areDropped);
    CPPUNIT_TEST(dispatch_body_hasContentLength);
    CPPUNIT_TEST(response_notExecuted_isDecoded);
    CPPUNIT_TEST(response_requestLimit_isDecodedOnlyFromTheServerItself);
    CPPUNIT_TEST(response_sealed_keepsEndToEndHeaders);
    CPPUNIT_TEST(addresses_none_respondsUnavailable);
    CPPUNIT_TEST(gossip_roundTrip_keepsAllFields);
    CPPUNIT_TEST(message_malformed_isRejected);
    CPPUNIT_TEST(changeBatch_roundTrip_keepsAllFields);
    CPPUNIT_TEST(usageReport_roundTrip_keepsAllFields);
    CPPUNIT_TEST_SUITE_END();

public:
    static auto header() -> RequestHeader
    {
        RequestHeader result;
        result.method_string("POST");
        result.target("/a/b?x=1");
        result.set(http::field::host, "h:80");
        result.set("X-Attempt-Id", "try-1");
        result.set("X-Token-Counts", "1460,80");
        result.set("X-Length-Hint", "33");
        result.set("X-Deadline-Remaining", "1500");
        result.set("Authorization", "Bearer secret");
        result.set("X-Custom", "kept");
        return result;
    }

    auto request_allHeaders_areDecoded() -> void
    {
        const auto request = decodeRequest(header());
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b"), request.path);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b?x=1"), request.target);
        CPPUNIT_ASSERT_EQUAL(std::string("h"), request.host);
        CPPUNIT_ASSERT_EQUAL(std::string("secret"), request.apiKey);
        CPPUNIT_ASSERT_EQUAL(1460.0, request.promptTokens);
        CPPUNIT_ASSERT_EQUAL(80.0, request.maxOutputTokens);
        CPPUNIT_ASSERT_EQUAL(33.0, *request.expectedOutputTokens);
        CPPUNIT_ASSERT(request.timeLeft == milliseconds(1500));
    }

    auto request_promptParts_allButTheLastAreShared() -> void
    {
        auto withParts = header();
        withParts.set("X-Prompt-Prefix", "5C1E07A2:800, 91bd3f06:410,5c1e07a2:1,e4402b7d:250");
        const std::vector<std::uint64_t> expected{0x5c1e07a2, 0x91bd3f06};
        CPPUNIT_ASSERT(decodeRequest(withParts).sharedPromptParts == expected);
        withParts.set("X-Prompt-Prefix", "e4402b7d:250");
        CPPUNIT_ASSERT(decodeRequest(withParts).sharedPromptParts.empty());
        withParts.set("X-Prompt-Prefix", ",,:,not a number:1,end");
        CPPUNIT_ASSERT(decodeRequest(withParts).sharedPromptParts.size() <= 4);
    }

    auto request_forgedHeaders_areDropped() -> void
    {
        auto forged = header();
        for (const auto *name : {"X-Tenant", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From",
                                 "kv-fetch", "x-expect-instance", "Transfer-Encoding", "Hop"}) {
            forged.set(name, "forged");
        }
        forged.set(http::field::connection, "keep-alive, Hop");
        const auto bytes =
            encodeDispatch(decodeRequest(forged), {"i-1", "org", seconds(1), {}}).head;
        CPPUNIT_ASSERT(bytes.find("forged") == std::string::npos);
        CPPUNIT_ASSERT(bytes.find("secret") == std::string::npos);
        CPPUNIT_ASSERT(bytes.find("X-Custom: kept\r\n") != std::string::npos);
        CPPUNIT_ASSERT(bytes.find("X-Tenant: org\r\n") != std::string::npos);
        CPPUNIT_ASSERT(bytes.find("X-Expect-Instance: i-1\r\n") != std::string::npos);
        CPPUNIT_ASSERT(bytes.find("X-Attempt-Id: try-1\r\n") != std::string::npos);
    }

    auto dispatch_body_hasContentLength() -> void
    {
        auto request = decodeRequest(header());
        request.body = std::make_shared<const std::string>("12345");
        request.hasBody = true;
        const auto encoded = encodeDispatch(request, {"i-1", "", seconds(1), 7});
        CPPUNIT_ASSERT(encoded.body == request.body);
        const auto bytes = encoded.head + *encoded.body;
        CPPUNIT_ASSERT(bytes.starts_with("POST /a/b?x=1 HTTP/1.1\r\n"));
        CPPUNIT_ASSERT(bytes.find("Content-Length: 5\r\n") != std::string::npos);
        CPPUNIT_ASSERT(bytes.find("X-Deadline-Remaining: 1000\r\n") != std::string::npos);
        CPPUNIT_ASSERT(bytes.find("Last-Event-Id: 7\r\n") != std::string::npos);
        CPPUNIT_ASSERT(bytes.find("X-Tenant") == std::string::npos);
        CPPUNIT_ASSERT(bytes.ends_with("\r\n\r\n12345"));
    }

    auto response_notExecuted_isDecoded() -> void
    {
        ResponseHeader rejected;
        rejected.result(503);
        rejected.set("X-Not-Executed", "1");
        rejected.set("X-Server-Load", "3,2,8");
        const auto response = decodeResponse(rejected);
        CPPUNIT_ASSERT(response.notExecuted);
        CPPUNIT_ASSERT(!response.sealed);
        CPPUNIT_ASSERT_EQUAL(5U, *response.reportedRequests);
        ResponseHeader misdirected;
        misdirected.result(421);
        CPPUNIT_ASSERT(decodeResponse(misdirected).notExecuted);
        CPPUNIT_ASSERT(decodeResponse(misdirected).misdirected);
    }

    auto response_requestLimit_isDecodedOnlyFromTheServerItself() -> void
    {
        const auto limitOf = [](int status, bool sealed, const char *value) {
            ResponseHeader header;
            header.result(static_cast<unsigned>(status));
            if (sealed) {
                header.set("X-Server-Seal", "seal");
            }
            if (value != nullptr) {
                header.set("Server-Limit", value);
            }
            return decodeResponse(header).requestLimit;
        };
        CPPUNIT_ASSERT(limitOf(200, true, "4.6") == 4.6);
        CPPUNIT_ASSERT(limitOf(503, false, " 0 ") == 0.0);
        CPPUNIT_ASSERT(limitOf(200, true, nullptr) == fleet::NoRequestLimit);
        CPPUNIT_ASSERT(!limitOf(503, false, nullptr).has_value());
        CPPUNIT_ASSERT(!limitOf(421, true, "1").has_value());
        for (const auto *malformed : {"-1", "nan", "inf", "3 a second", "x"}) {
            CPPUNIT_ASSERT(!limitOf(200, true, malformed).has_value());
        }
    }

    auto response_sealed_keepsEndToEndHeaders() -> void
    {
        ResponseHeader header;
        header.result(200);
        header.set("X-Server-Seal", "seal");
        header.set("X-Attempt-Id", "try-1");
        header.set("Connection", "close");
        header.set("Content-Length", "7");
        const auto response = decodeResponse(header);
        CPPUNIT_ASSERT(response.sealed);
        CPPUNIT_ASSERT_EQUAL(std::string("try-1"), response.attemptId);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, response.headers.size());
    }

    auto addresses_none_respondsUnavailable() -> void
    {
        gateway::CallerRequest request;
        request.path = "/api/resolve";
        CPPUNIT_ASSERT_EQUAL(503, handleResolveRequest(request, {}, seconds(1)).status);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"addresses":["a:1"],"ttl_s":1.0})"),
                             handleResolveRequest(request, {"a:1"}, seconds(1)).body);
        request.path = "/other";
        CPPUNIT_ASSERT_EQUAL(404, handleResolveRequest(request, {"a:1"}, seconds(1)).status);
    }

    auto gossip_roundTrip_keepsAllFields() -> void
    {
        fleet::GossipMessage message;
        message.sender.peerAddress = "10.0.0.1:83";
        message.sender.incarnation = 5;
        message.sender.phase = fleet::NodePhase::Draining;
        message.relayedStatuses.push_back(message.sender);
        message.relayedStatuses.back().age = milliseconds(40);
        message.hasLoads = true;
        message.loads.push_back({7, 3, 1200});
        message.latencies.push_back({7, 9.0F, 0.5F, 2.5F});
        message.usages.push_back({9, 100, 60, 50, 7, 30});
        message.crashSuspects.push_back(
            {11, seconds(3), {{1, seconds(2), milliseconds(250)}, {2, seconds(1), {}}}});
        message.requestLimits.push_back({12, 2.5, seconds(4)});
        message.replyRequested = true;
        const auto decoded = gateway::decodeGossip(gateway::encodeGossip(message));
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT(decoded->sender.phase == fleet::NodePhase::Draining);
        CPPUNIT_ASSERT(decoded->relayedStatuses[0].age == milliseconds(40));
        CPPUNIT_ASSERT(decoded->hasLoads);
        CPPUNIT_ASSERT_EQUAL(1200U, decoded->loads[0].promptWork);
        CPPUNIT_ASSERT_EQUAL(2.5F, decoded->latencies[0].outputMsPerToken);
        CPPUNIT_ASSERT_EQUAL(50.0, decoded->usages[0].fleetWindowUnits);
        CPPUNIT_ASSERT_EQUAL(2.5, decoded->requestLimits.at(0).perSecond);
        CPPUNIT_ASSERT(decoded->requestLimits[0].age == seconds(4));
        const auto &suspect = decoded->crashSuspects.at(0);
        CPPUNIT_ASSERT(suspect.answerAge == seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, suspect.crashes.size());
        CPPUNIT_ASSERT_EQUAL(1U, suspect.crashes[0].serverHash);
        CPPUNIT_ASSERT(suspect.crashes[0].age == seconds(2));
        CPPUNIT_ASSERT(suspect.crashes[0].runTime == milliseconds(250));
        CPPUNIT_ASSERT(decoded->replyRequested);
    }

    auto usageReport_roundTrip_keepsAllFields() -> void
    {
        const auto report =
            gateway::decodeUsageReport(gateway::encodeUsageReport({5, 6, {9, 100, 60, 50, 7, 30}}));
        CPPUNIT_ASSERT(report.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, report->queryId);
        CPPUNIT_ASSERT_EQUAL(60.0, report->usage.windowUnits);
        CPPUNIT_ASSERT_EQUAL(30.0, report->usage.pendingUnits);
        const auto reply =
            gateway::decodeUsageReply(gateway::encodeUsageReply({6, {9, 100, 40, 7, true}}));
        CPPUNIT_ASSERT(reply.has_value());
        CPPUNIT_ASSERT_EQUAL(40.0, reply->total.newerHalfUnits);
        CPPUNIT_ASSERT(reply->total.complete);
        CPPUNIT_ASSERT(!gateway::decodeUsageReport("garbage").has_value());
        CPPUNIT_ASSERT(!gateway::decodeUsageReply("garbage").has_value());
    }

    auto changeBatch_roundTrip_keepsAllFields() -> void
    {
        const auto decoded = gateway::decodeChangeBatch(
            gateway::encodeChangeBatch({5, 9, false, {{"a", "1", 7, false}, {"b", "", 9, true}}}));
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, decoded->fromRevision);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, decoded->toRevision);
        CPPUNIT_ASSERT(!decoded->complete);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), decoded->changes.at(0).value);
        CPPUNIT_ASSERT(decoded->changes.at(1).removed);
    }

    auto message_malformed_isRejected() -> void
    {
        CPPUNIT_ASSERT(!gateway::decodeGossip("").has_value());
        CPPUNIT_ASSERT(!gateway::decodeGossip("garbage").has_value());
        CPPUNIT_ASSERT(!gateway::decodeMirror("\x93\x01").has_value());
        CPPUNIT_ASSERT(!gateway::decodeChangeBatch("garbage").has_value());
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsFileFixture);
CPPUNIT_TEST_SUITE_REGISTRATION(StoreCodecFixture);
CPPUNIT_TEST_SUITE_REGISTRATION(MessageCodecFixture);
