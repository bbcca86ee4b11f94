#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace burlreach {

/**
 * The SHA-256 digest of a customer's API key. Only digests are kept, compared, sent between instances and stored; the
 * key itself is discarded as soon as its digest is computed.
 */
class KeyDigest {
public:
    static constexpr std::size_t Size = 32;
    using Bytes = std::array<std::uint8_t, Size>;

    KeyDigest() = default;
    explicit KeyDigest(const Bytes& bytes);

    /** Compares in constant time, so that the duration does not show where two digests differ. */
    bool operator==(const KeyDigest& other) const;
    /** An arbitrary order, for sorting and searching. */
    std::strong_ordering operator<=>(const KeyDigest& other) const { return this->bytes <=> other.bytes; }
    /** The digest as 64 lower-case hexadecimal digits. */
    std::string text() const;

private:
    Bytes bytes{};
};

KeyDigest digestOfKey(std::string_view key);
/** Parses the format of KeyDigest::text(); nullopt for any other text. */
std::optional<KeyDigest> parseKeyDigest(std::string_view text);

}
