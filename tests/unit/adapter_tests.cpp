/** @file adapter_tests.cpp Unit tests of settings, configuration, the peer codec and the queue. */
#include "banyanring/adapters/config_codec.h"
#include "banyanring/adapters/peer_codec.h"
#include "banyanring/adapters/settings_type.h"
#include "banyanring/ports/bounded_queue.h"

#include <cppunit/extensions/HelperMacros.h>
#include <filesystem>
#include <fstream>
#include <random>
#include <unistd.h>

namespace {

using namespace banyanring;

/** Tests of the parts of the adapters that need no network. */
class AdapterFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdapterFixture);
    CPPUNIT_TEST(settings_unknownName_errorHasFileAndLine);
    CPPUNIT_TEST(settings_outOfRange_errorHasValueAndRange);
    CPPUNIT_TEST(settings_onlyRequiredGiven_othersHaveDefaults);
    CPPUNIT_TEST(config_severalErrors_allReported);
    CPPUNIT_TEST(collect_duplicateName_errorHasBothLocations);
    CPPUNIT_TEST(collect_examples_validAndOrderIndependent);
    CPPUNIT_TEST(codec_everyMessageType_roundTrips);
    CPPUNIT_TEST(codec_malformedBytes_rejected);
    CPPUNIT_TEST(queue_fullLaneAndControl_rejectsAndPopsControlFirst);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Reads settings from a text; returns the error, or an empty text if they are valid. */
    auto readSettingsError(const std::string &text) -> std::string
    {
        const auto file = std::filesystem::temp_directory_path()
                          / ("banyanring-" + std::to_string(getpid()) + ".json");
        std::ofstream(file) << text;
        std::string message;
        try {
            this->settings = readSettings(file);
        } catch (const SettingsError &error) {
            message = error.what();
        }
        std::filesystem::remove(file);
        return message;
    }

    auto settings_unknownName_errorHasFileAndLine() -> void
    {
        const auto error = this->readSettingsError("{\n // a comment\n \"nod\": 1\n}");
        CPPUNIT_ASSERT(error.find(".json:3: unknown setting nod = 1") != std::string::npos);
    }

    auto settings_outOfRange_errorHasValueAndRange() -> void
    {
        const auto error = this->readSettingsError("{\"lapse_ms\": 5}");
        CPPUNIT_ASSERT(error.find("lapse_ms is 5; allowed: a whole number from 200")
                       != std::string::npos);
    }

    auto settings_onlyRequiredGiven_othersHaveDefaults() -> void
    {
        const auto error = this->readSettingsError(
            R"({"node": 3, "entry_listen": "a:1", "peer_listen": "a:2", "operator_listen": "a:3",
                "platform": "a:4", "domain": "d"})");
        CPPUNIT_ASSERT_EQUAL(std::string(), error);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{4000}, this->settings.lapseMs);
    }

    auto config_severalErrors_allReported() -> void
    {
        const Shards shards{
            {"s", R"({"services": [{"name": "a", "kind": "odd", "longest_run_ms": 1}],
            "routes": [{"path": "x", "service": "b", "tier": 7, "deadline_ms": 100}],
            "extra": [{}]})"}};
        try {
            parseConfig(1, shards);
            CPPUNIT_FAIL("an invalid configuration was accepted");
        } catch (const ConfigError &error) {
            CPPUNIT_ASSERT(error.errors.size() >= 6);
        }
    }

    auto collect_duplicateName_errorHasBothLocations() -> void
    {
        const std::string text =
            "{\n\"organisations\": [{\"name\": \"red\", \"rate\": 1, \"burst\": 1}]}";
        try {
            collectShards({{"one.json", text}, {"two.json", text}});
            CPPUNIT_FAIL("a duplicate organisation was accepted");
        } catch (const ConfigError &error) {
            CPPUNIT_ASSERT(std::string(error.what())
                               .find("two.json:2: red in organisations is already "
                                     "defined at one.json:2")
                           != std::string::npos);
        }
    }

    auto collect_examples_validAndOrderIndependent() -> void
    {
        for (const std::string name : {"culisa", "nakshi"}) {
            std::vector<ConfigSourceFile> files;
            for (const auto &entry : std::filesystem::recursive_directory_iterator(
                     std::string(BANYANRING_SOURCE) + "/examples/" + name)) {
                if (entry.is_regular_file()) {
                    std::ifstream stream(entry.path());
                    files.push_back(
                        {entry.path().string(), {std::istreambuf_iterator<char>(stream), {}}});
                }
            }
            const auto shards = collectShards(files);
            CPPUNIT_ASSERT(shards == collectShards({files.rbegin(), files.rend()}));
            const auto config = parseConfig(1, shards);
            CPPUNIT_ASSERT_EQUAL(std::size_t{5}, config->organisations.size());
            CPPUNIT_ASSERT_EQUAL(name == "culisa" ? std::size_t{16} : std::size_t{12},
                                 config->servers.size());
        }
    }

    auto codec_everyMessageType_roundTrips() -> void
    {
        const Heartbeat heartbeat{2, 3, 4, 5, 6, Duration(7), true, {{8, 1, 2}}};
        const std::vector<WireMessage> messages{
            PeerMessage(GossipPull{1, true}),
            PeerMessage(GossipReply{1, {heartbeat}, {{1, 2, 3, 4}}}),
            PeerMessage(SlotQuery{1, 2, {{{3, 4}, 5, 6}}}),
            PeerMessage(SlotQueryReply{1, 2, {{3, 4}}}),
            PeerMessage(SlotLoanRequest{1, 2, 3, 1}),
            PeerMessage(SlotLoanReply{1, 2, Duration(3), {{4, 5}}}),
            PeerMessage(SlotReturn{1, {{2, 3}}}),
            PeerMessage(TokenLoanRequest{1, 2, 3.5}),
            PeerMessage(TokenLoanReply{1, 2, 3.5, Duration(4)}),
            PeerMessage(CrashNotice{1, 2, 3, 4}),
            PeerMessage(CrashNoticeAck{1}),
            PlatformSnapshotRequest{},
            PlatformSnapshot{1, {{"a", "{}"}}, "{}"},
        };
        for (const auto &message : messages) {
            const auto bytes = encodeEnvelope({9, message});
            const auto decoded = decodeEnvelope(bytes);
            CPPUNIT_ASSERT(decoded && decoded->from == 9);
            CPPUNIT_ASSERT_EQUAL(bytes, encodeEnvelope(*decoded));
        }
    }

    // Random bytes must neither crash the decoder nor, if truncated, be accepted as a message.
    auto codec_malformedBytes_rejected() -> void
    {
        std::mt19937 random(1);
        const auto valid = encodeEnvelope({9, PeerMessage(SlotQuery{1, 2, {{{3, 4}, 5, 6}}})});
        for (int round = 0; round < 20000; ++round) {
            auto bytes = valid;
            bytes[random() % bytes.size()] = static_cast<char>(random());
            bytes.resize(random() % (bytes.size() + 1));
            decodeEnvelope(bytes);
        }
        CPPUNIT_ASSERT(!decodeEnvelope(""));
        CPPUNIT_ASSERT(!decodeEnvelope("\xff\xff\xff\xff"));
        CPPUNIT_ASSERT(!decodeEnvelope(valid.substr(0, valid.size() - 1)));
    }

    auto queue_fullLaneAndControl_rejectsAndPopsControlFirst() -> void
    {
        BoundedQueue<int> queue(2, 1);
        CPPUNIT_ASSERT(queue.tryPush(Lane::Request, 1));
        CPPUNIT_ASSERT(!queue.tryPush(Lane::Request, 2));
        CPPUNIT_ASSERT(queue.tryPush(Lane::Control, 3));
        CPPUNIT_ASSERT_EQUAL(3, *queue.pop(Duration(0)));
        CPPUNIT_ASSERT_EQUAL(1, *queue.pop(Duration(0)));
        CPPUNIT_ASSERT(!queue.pop(Duration(0)));
    }

private:
    Settings settings;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdapterFixture);

} // namespace
