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
 * The SHA-256 digest of a caller's key. Only digests are kept, compared, passed
 * on between instances and written into documents; the key itself is forgotten
 * as soon as it is read.
 */
class KeyDigest {
public:
    static constexpr std::size_t Size = 32;
    using Bytes = std::array<std::uint8_t, Size>;

    KeyDigest() = default;
    explicit KeyDigest(const Bytes& bytes);

    /** Takes the same time wherever two digests differ. */
    bool operator==(const KeyDigest& other) const;
    /** An order without a meaning, to search by. */
    std::strong_ordering operator<=>(const KeyDigest& other) const { return this->bytes <=> other.bytes; }
    /** In lower-case hexadecimal digits. */
    std::string text() const;

private:
    Bytes bytes{};
};

KeyDigest digestOfKey(std::string_view key);
/** Nothing unless the text is one that KeyDigest::text() gives. */
std::optional<KeyDigest> parseKeyDigest(std::string_view text);

}
