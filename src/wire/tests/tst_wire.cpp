#include "wire/framedconnection.h"
#include "wire/packer.h"
#include "wire/unpacker.h"
#include "wire/wireconstants.h"

#include "support/rapidcheck.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;

namespace {

struct inner_record {
    core::host_id host;
    std::chrono::milliseconds age{};
};

template <class Archive>
void describe(Archive& archive, inner_record& m)
{
    archive(m.host, m.age);
}

struct sample_message {
    static constexpr std::uint8_t type = 7;
    std::uint64_t count = 0;
    std::string text;
    bool flag = false;
    double share = 0;
    std::vector<inner_record> records;
    std::optional<core::epoch> session;
};

template <class Archive>
void describe(Archive& archive, sample_message& m)
{
    archive(m.count, m.text, m.flag, m.share, m.records, m.session);
}

} // namespace

TEST_GROUP(codec){};

TEST(codec, message_survives_the_round_trip)
{
    CHECK_PROPERTY("round trip", [](std::uint64_t count, const std::string& text, bool flag,
                                    std::uint32_t age, bool with_session) {
        sample_message sent{count, text, flag, 0.5, {}, {}};
        sent.records.push_back({core::host_id(text), std::chrono::milliseconds(age)});
        if (with_session) {
            sent.session = core::epoch{count};
        }
        const core::result<sample_message> got = wire::decode<sample_message>(wire::encode(sent));
        RC_ASSERT(got.has_value());
        RC_ASSERT(got.value().count == count);
        RC_ASSERT(got.value().text == text);
        RC_ASSERT(got.value().flag == flag);
        RC_ASSERT(got.value().records.at(0).host.str() == text);
        RC_ASSERT(got.value().records.at(0).age == std::chrono::milliseconds(age));
        RC_ASSERT(got.value().session == sent.session);
    });
}

TEST(codec, random_bytes_are_refused_or_decoded_but_never_read_past_the_end)
{
    CHECK_PROPERTY("random bytes", [](const std::string& bytes) {
        const core::result<sample_message> got = wire::decode<sample_message>(bytes);
        RC_ASSERT((got.has_value() || got.error().code == core::errc::malformed));
    });
}

TEST(codec, damaged_messages_are_refused_or_decoded)
{
    CHECK_PROPERTY("one byte changed or the end cut off", [](std::uint64_t count, char byte) {
        sample_message sent{count, "text", true, 1.0, {{core::host_id("h"), {}}}, core::epoch{1}};
        std::string bytes = wire::encode(sent);
        const std::size_t position = *rc::gen::inRange<std::size_t>(0, bytes.size());
        std::string changed = bytes;
        changed[position] = byte;
        const core::result<sample_message> got = wire::decode<sample_message>(changed);
        RC_ASSERT((got.has_value() || got.error().code == core::errc::malformed));
        RC_ASSERT(!wire::decode<sample_message>(bytes.substr(0, position)).has_value());
    });
}

TEST(codec, addresses_need_an_ip_address_and_a_port)
{
    CHECK(wire::parse_address("127.0.0.1:80").has_value());
    CHECK(!wire::parse_address("127.0.0.1").has_value());
    CHECK(!wire::parse_address("127.0.0.1:port").has_value());
    CHECK(!wire::parse_address("127.0.0.1:70000").has_value());
    CHECK(!wire::parse_address("host:80").has_value());
}

namespace {

// Sends raw bytes to a framed connection over loopback and returns the result of receive.
core::result<std::string> receive_raw(const std::string& raw)
{
    core::asio::io_context context{1};
    core::asio::ip::tcp::acceptor acceptor(
        context, core::asio::ip::tcp::endpoint(core::asio::ip::make_address("127.0.0.1"), 0));
    core::asio::ip::tcp::socket sender(context);
    sender.connect(acceptor.local_endpoint());
    wire::framed_connection receiver(acceptor.accept());
    core::asio::write(sender, core::asio::buffer(raw));
    sender.close();
    core::result<std::string> outcome = core::error{};
    core::spawn(
        context.get_executor(),
        [](wire::framed_connection& from, core::result<std::string>& got) -> core::task<void> {
            got = co_await from.receive();
        }(receiver, outcome));
    context.run();
    return outcome;
}

} // namespace

TEST_GROUP(frames){};

TEST(frames, invalid_frames_are_rejected_with_their_error)
{
    using namespace std::string_literals;
    CHECK(receive_raw("\0\0\0\3\1ab"s).value() == "ab");
    CHECK(receive_raw("\0\0\0\3\2ab"s).error().code == core::errc::malformed);
    CHECK(receive_raw("\0\0\0\0"s).error().code == core::errc::malformed);
    CHECK(receive_raw("\x7f\0\0\0"s).error().code == core::errc::too_large);
    CHECK(receive_raw("\0\0\0\3\1a"s).error().code == core::errc::closed);
    CHECK(receive_raw("\0\0"s).error().code == core::errc::closed);
}
