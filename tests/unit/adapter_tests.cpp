/** @file adapter_tests.cpp Focused tests of settings, configuration and the peer codec. */
#include "banyanring/adapters/config_codec.h"
#include "banyanring/adapters/peer_codec.h"
#include "banyanring/adapters/settings_type.h"
#include "banyanring/ports/bounded_ring.h"

#include <cppunit/extensions/HelperMacros.h>
#include <filesystem>
#include <fstream>
#include <random>
#include <unistd.h>

namespace {

using namespace banyanring;

/** Settings, configuration, codec and ring. */
class AdapterFixture : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdapterFixture);
    CPPUNIT_TEST(settings_unknownName_namesFileAndLine);
    CPPUNIT_TEST(settings_outOfRange_namesValueAndRange);
    CPPUNIT_TEST(settings_defaults_fillTheRest);
    CPPUNIT_TEST(config_manyFaults_allNamed);
    CPPUNIT_TEST(collect_duplicate_namesBothPlaces);
    CPPUNIT_TEST(collect_examples_usable);
    CPPUNIT_TEST(codec_everyMessage_roundTrips);
    CPPUNIT_TEST(codec_garbage_refused);
    CPPUNIT_TEST(ring_full_refusesAndControlFirst);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Reads settings from a text; gives the fault. */
    auto settingsFault(const std::string &text) -> std::string
    {
        const auto file = std::filesystem::temp_directory_path()
                          / ("banyanring-" + std::to_string(getpid()) + ".json");
        std::ofstream(file) << text;
        std::string fault;
        try {
            this->settings = readSettings(file);
        } catch (const SettingsError &error) {
            fault = error.what();
        }
        std::filesystem::remove(file);
        return fault;
    }

    auto settings_unknownName_namesFileAndLine() -> void
    {
        const auto fault = this->settingsFault("{\n // a comment\n \"nod\": 1\n}");
        CPPUNIT_ASSERT(fault.find(".json:3: unknown setting nod = 1") != std::string::npos);
    }

    auto settings_outOfRange_namesValueAndRange() -> void
    {
        const auto fault = this->settingsFault("{\"lapse_ms\": 5}");
        CPPUNIT_ASSERT(fault.find("lapse_ms is 5; allowed: a whole number from 200")
                       != std::string::npos);
    }

    auto settings_defaults_fillTheRest() -> void
    {
        const auto fault = this->settingsFault(
            R"({"node": 3, "entry_listen": "a:1", "peer_listen": "a:2", "operator_listen": "a:3",
                "platform": "a:4", "domain": "d"})");
        CPPUNIT_ASSERT_EQUAL(std::string(), fault);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{4000}, this->settings.lapseMs);
    }

    auto config_manyFaults_allNamed() -> void
    {
        const Shards shards{
            {"s", R"({"services": [{"name": "a", "kind": "odd", "longest_run_ms": 1}],
            "routes": [{"path": "x", "service": "b", "tier": 7, "deadline_ms": 100}],
            "extra": [{}]})"}};
        try {
            parseConfig(1, shards);
            CPPUNIT_FAIL("accepted");
        } catch (const ConfigError &error) {
            CPPUNIT_ASSERT(error.faults.size() >= 6);
        }
    }

    auto collect_duplicate_namesBothPlaces() -> void
    {
        const std::string text =
            "{\n\"organisations\": [{\"name\": \"red\", \"rate\": 1, \"burst\": 1}]}";
        try {
            collectShards({{"one.json", text}, {"two.json", text}});
            CPPUNIT_FAIL("accepted");
        } catch (const ConfigError &error) {
            CPPUNIT_ASSERT(std::string(error.what())
                               .find("two.json:2: red in organisations is there "
                                     "already at one.json:2")
                           != std::string::npos);
        }
    }

    auto collect_examples_usable() -> void
    {
        for (const std::string name : {"culisa", "nakshi"}) {
            std::vector<SourceFile> files;
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

    auto codec_everyMessage_roundTrips() -> void
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
            ValuesAsk{},
            Values{1, {{"a", "{}"}}, "{}"},
        };
        for (const auto &message : messages) {
            const auto bytes = encodePeer({9, message});
            const auto decoded = decodePeer(bytes);
            CPPUNIT_ASSERT(decoded && decoded->from == 9);
            CPPUNIT_ASSERT_EQUAL(bytes, encodePeer(*decoded));
        }
    }

    auto codec_garbage_refused() -> void
    {
        std::mt19937 random(1);
        const auto whole = encodePeer({9, PeerMessage(SlotQuery{1, 2, {{{3, 4}, 5, 6}}})});
        for (int round = 0; round < 20000; ++round) {
            auto bytes = whole;
            bytes[random() % bytes.size()] = static_cast<char>(random());
            bytes.resize(random() % (bytes.size() + 1));
            decodePeer(bytes);
        }
        CPPUNIT_ASSERT(!decodePeer(""));
        CPPUNIT_ASSERT(!decodePeer("\xff\xff\xff\xff"));
        CPPUNIT_ASSERT(!decodePeer(whole.substr(0, whole.size() - 1)));
    }

    auto ring_full_refusesAndControlFirst() -> void
    {
        BoundedRing<int> ring(2, 1);
        CPPUNIT_ASSERT(ring.push(Lane::Request, 1));
        CPPUNIT_ASSERT(!ring.push(Lane::Request, 2));
        CPPUNIT_ASSERT(ring.push(Lane::Control, 3));
        CPPUNIT_ASSERT_EQUAL(3, *ring.pop(Duration(0)));
        CPPUNIT_ASSERT_EQUAL(1, *ring.pop(Duration(0)));
        CPPUNIT_ASSERT(!ring.pop(Duration(0)));
    }

private:
    Settings settings;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdapterFixture);

} // namespace
