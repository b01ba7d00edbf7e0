/** @file peer_codec.cpp Messages between nodes as msgpack arrays of their fields. */
#include "banyanring/adapters/peer_codec.h"

#include <msgpack.hpp>
#include <tuple>

namespace banyanring {

namespace {

constexpr int WireVersion = 1; ///< Incremented with each change that older nodes cannot decode.
constexpr std::size_t PlatformSnapshotRequestKind = 100; ///< Above the kinds of PeerMessage.
constexpr std::size_t PlatformSnapshotKind = 101; ///< Above the kinds of PeerMessage.
constexpr std::size_t EnvelopeFields = 4; ///< Version, sender, kind, payload.

/** @return The fields of a message in wire order; one overload for each type. */
auto fields(auto &m) -> auto requires
    std::same_as<std::remove_const_t<std::remove_reference_t<decltype(m)>>, ShedThresholds>
{
    return std::tie(m.service, m.requested, m.enforced);
}

template <typename M, typename T>
concept Is = std::same_as<std::remove_const_t<M>, T>;

template <Is<Heartbeat> M> auto fields(M &m) -> auto
{
    return std::tie(m.node, m.incarnation, m.sequence, m.configRevision, m.vmListRevision, m.age,
                    m.draining, m.shedThresholds);
}
template <Is<GossipPull> M> auto fields(M &m) -> auto
{
    return std::tie(m.pullId, m.starting);
}
template <Is<GossipReply> M> auto fields(M &m) -> auto
{
    return std::tie(m.pullId, m.heartbeats, m.crashNotices);
}
template <Is<SlotRef> M> auto fields(M &m) -> auto
{
    return std::tie(m.server, m.index);
}
template <Is<UnreleasedSlot> M> auto fields(M &m) -> auto
{
    return std::tie(m.slot, m.loanId, m.transferRevision);
}
template <Is<SlotQuery> M> auto fields(M &m) -> auto
{
    return std::tie(m.queryId, m.vmListRevision, m.slots);
}
template <Is<SlotQueryReply> M> auto fields(M &m) -> auto
{
    return std::tie(m.queryId, m.vmListRevision, m.released);
}
template <Is<SlotLoanRequest> M> auto fields(M &m) -> auto
{
    return std::tie(m.loanId, m.service, m.count, m.tier);
}
template <Is<SlotLoanReply> M> auto fields(M &m) -> auto
{
    return std::tie(m.loanId, m.service, m.duration, m.slots);
}
template <Is<SlotReturn> M> auto fields(M &m) -> auto
{
    return std::tie(m.loanId, m.slots);
}
template <Is<TokenLoanRequest> M> auto fields(M &m) -> auto
{
    return std::tie(m.loanId, m.organisation, m.amount);
}
template <Is<TokenLoanReply> M> auto fields(M &m) -> auto
{
    return std::tie(m.loanId, m.organisation, m.amount, m.duration);
}
template <Is<CrashNotice> M> auto fields(M &m) -> auto
{
    return std::tie(m.noticeId, m.fingerprint, m.server, m.crashId);
}
template <Is<CrashNoticeAck> M> auto fields(M &m) -> auto
{
    return std::tie(m.noticeId);
}
template <Is<PlatformSnapshotRequest> M> auto fields(M &) -> auto
{
    return std::tuple<>();
}
template <Is<PlatformSnapshot> M> auto fields(M &m) -> auto
{
    return std::tie(m.configRevision, m.shards, m.vmList);
}

using Packer = msgpack::packer<msgpack::sbuffer>;

/** A type that has a fields() overload. */
template <typename T>
concept HasFields = requires(T &value)
{
    fields(value);
};

template <typename T> auto pack(Packer &packer, const T &value) -> void;

/** Packs a vector as an array. */
template <typename T> auto pack(Packer &packer, const std::vector<T> &list) -> void
{
    packer.pack_array(static_cast<std::uint32_t>(list.size()));
    for (const auto &value : list) {
        pack(packer, value);
    }
}

/** Packs a message as an array of its fields, a duration as microseconds, others unchanged. */
template <typename T> auto pack(Packer &packer, const T &value) -> void
{
    if constexpr (std::same_as<T, Duration>) {
        packer.pack(value.count());
    } else if constexpr (HasFields<const T>) {
        const auto all = fields(value);
        packer.pack_array(static_cast<std::uint32_t>(std::tuple_size_v<decltype(all)>));
        std::apply([&](const auto &...field) { (pack(packer, field), ...); }, all);
    } else {
        packer.pack(value);
    }
}

template <typename T> auto unpack(const msgpack::object &object, T &value) -> void;

/** @return @p object as an array; throws msgpack::type_error if it is none. */
auto asArray(const msgpack::object &object) -> const msgpack::object_array &
{
    if (object.type != msgpack::type::ARRAY) {
        throw msgpack::type_error();
    }
    return object.via.array;
}

/** Unpacks an array into a vector. */
template <typename T> auto unpack(const msgpack::object &object, std::vector<T> &list) -> void
{
    const auto &array = asArray(object);
    list.resize(array.size);
    for (std::uint32_t index = 0; index < array.size; ++index) {
        unpack(array.ptr[index], list[index]);
    }
}

/** Unpacks the format of pack(); throws msgpack::type_error on anything else. */
template <typename T> auto unpack(const msgpack::object &object, T &value) -> void
{
    if constexpr (std::same_as<T, Duration>) {
        value = Duration(object.as<std::int64_t>());
    } else if constexpr (HasFields<T>) {
        auto all = fields(value);
        const auto &array = asArray(object);
        if (array.size != std::tuple_size_v<decltype(all)>) {
            throw msgpack::type_error();
        }
        const auto *next = array.ptr;
        std::apply([&](auto &...field) { (unpack(*next++, field), ...); }, all);
    } else {
        object.convert(value);
    }
}

/** Unpacks the PeerMessage with variant index @p kind; throws msgpack::type_error without one. */
template <std::size_t Kind = 0>
auto unpackPeerMessage(std::size_t kind, const msgpack::object &payload) -> PeerMessage
{
    if constexpr (Kind < std::variant_size_v<PeerMessage>) {
        if (kind != Kind) {
            return unpackPeerMessage<Kind + 1>(kind, payload);
        }
        std::variant_alternative_t<Kind, PeerMessage> message;
        unpack(payload, message);
        return message;
    } else {
        throw msgpack::type_error();
    }
}

/** Unpacks a message of kind @p kind. */
auto unpackWireMessage(std::size_t kind, const msgpack::object &payload) -> WireMessage
{
    if (kind == PlatformSnapshotRequestKind) {
        return PlatformSnapshotRequest{};
    }
    if (kind == PlatformSnapshotKind) {
        PlatformSnapshot snapshot;
        unpack(payload, snapshot);
        return snapshot;
    }
    return unpackPeerMessage(kind, payload);
}

/** Packs the kind and the payload of a message. */
struct WireMessagePacker
{
    Packer &packer;

    auto operator()(const PeerMessage &message) const -> void
    {
        this->packer.pack(message.index());
        std::visit([this](const auto &typed) { pack(this->packer, typed); }, message);
    }
    auto operator()(const PlatformSnapshotRequest &message) const -> void
    {
        this->packer.pack(PlatformSnapshotRequestKind);
        pack(this->packer, message);
    }
    auto operator()(const PlatformSnapshot &message) const -> void
    {
        this->packer.pack(PlatformSnapshotKind);
        pack(this->packer, message);
    }
};

} // namespace

auto encodeEnvelope(const Envelope &envelope) -> std::string
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packer.pack_array(EnvelopeFields);
    packer.pack(WireVersion);
    packer.pack(envelope.from);
    std::visit(WireMessagePacker{packer}, envelope.message);
    return {buffer.data(), buffer.size()};
}

auto decodeEnvelope(std::string_view bytes) -> std::optional<Envelope>
{
    try {
        const auto handle = msgpack::unpack(bytes.data(), bytes.size());
        const auto &array = asArray(handle.get());
        if (array.size != EnvelopeFields || array.ptr[0].as<int>() != WireVersion) {
            return std::nullopt;
        }
        Envelope envelope;
        envelope.from = array.ptr[1].as<NodeId>();
        envelope.message = unpackWireMessage(array.ptr[2].as<std::size_t>(), array.ptr[3]);
        return envelope;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace banyanring
