#include "Node/CrashMessages.h"

#include <algorithm>
#include <string>
#include <string_view>

namespace burlreach {

namespace {

constexpr std::size_t HalfBytes = 8;
constexpr unsigned BitsPerByte = 8;

void appendHalf(std::string& bytes, std::uint64_t half)
{
    for (std::size_t index = 0; index < HalfBytes; ++index)
        bytes += static_cast<char>(half >> (BitsPerByte * index));
}

std::uint64_t halfAt(std::string_view bytes, std::size_t from)
{
    std::uint64_t half = 0;
    for (std::size_t index = 0; index < HalfBytes; ++index)
        half |= std::uint64_t{ static_cast<unsigned char>(bytes[from + index]) } << (BitsPerByte * index);
    return half;
}

std::string packDigest(const RequestDigest& digest)
{
    std::string bytes;
    appendHalf(bytes, digest.low);
    appendHalf(bytes, digest.high);
    return bytes;
}

std::optional<RequestDigest> unpackDigest(std::string_view bytes)
{
    if (bytes.size() != 2 * HalfBytes)
        return std::nullopt;
    const RequestDigest digest{ .high = halfAt(bytes, HalfBytes), .low = halfAt(bytes, 0) };
    return digest.isKnown() ? std::optional(digest) : std::nullopt;
}

std::uint32_t millisecondsSince(Milliseconds at, Milliseconds now)
{
    return static_cast<std::uint32_t>(std::max(0.0, (now - at).count));
}

Milliseconds timeOf(std::uint32_t age, Milliseconds now)
{
    return now - Milliseconds{ static_cast<double>(age) };
}

}

void write(const CrashReport& report, Milliseconds now, peers::ServerEnd& message)
{
    message.set_digest(packDigest(report.digest));
    message.set_server(report.end.server);
    message.set_ordinal(report.end.ordinal);
    message.set_address(report.end.address.packed());
    message.set_caller(report.end.caller);
    message.set_age_milliseconds(millisecondsSince(report.end.at, now));
}

void write(const AnswerReport& report, Milliseconds now, peers::RequestAnswered& message)
{
    message.set_digest(packDigest(report.digest));
    message.set_caller(report.caller);
    message.set_age_milliseconds(millisecondsSince(report.at, now));
}

std::optional<CrashReport> read(const peers::ServerEnd& message, Milliseconds now)
{
    const auto digest = unpackDigest(message.digest());
    auto address = unpackNetworkAddress(message.address());
    if (!digest || !address || !message.ordinal())
        return std::nullopt;
    return CrashReport{ .digest = *digest,
        .end = { .server = message.server(),
            .ordinal = message.ordinal(),
            .address = std::move(*address),
            .caller = message.caller(),
            .at = timeOf(message.age_milliseconds(), now) } };
}

std::optional<AnswerReport> read(const peers::RequestAnswered& message, Milliseconds now)
{
    const auto digest = unpackDigest(message.digest());
    if (!digest)
        return std::nullopt;
    return AnswerReport{ .digest = *digest, .caller = message.caller(), .at = timeOf(message.age_milliseconds(), now) };
}

}
