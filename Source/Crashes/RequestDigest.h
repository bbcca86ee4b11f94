#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace burlreach {

/**
 * The properties by which a repeated request is recognised. The caller's address is not one of them, because a caller
 * may use several. The request id is not one either, because it differs with each try of a caller.
 */
struct RequestIdentity {
    std::string_view host;
    std::string_view method;
    std::string_view path; // with its query
    std::uint64_t fields = 0; // hash of the header fields that stay the same when the request is repeated
    std::string_view body; // or its first part
    std::span<const std::string_view> bodyRest = {}; // further parts of the body
};

/**
 * A hash of the identity of a request, the same on every instance and in every version.
 *
 * With 128 bits, the probability of one accidental collision among a million requests a second for a year is below 1 in
 * 10^11. It is not designed against callers that search for collisions: they would only get requests of their own
 * choice refused.
 */
struct RequestDigest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const RequestDigest&) const = default;
    /** False for a request whose identity is not known; such requests never count as repeated. */
    bool isKnown() const { return this->high || this->low; }
    /** 32 hexadecimal digits, for log lines and operators. */
    std::string text() const;
};

RequestDigest digestOf(const RequestIdentity& identity);

/** A short identifier of a caller's address, the same on every instance. */
std::uint64_t callerHash(std::string_view address);

struct RequestDigestHash {
    std::size_t operator()(const RequestDigest& digest) const { return static_cast<std::size_t>(digest.low); }
};

}
