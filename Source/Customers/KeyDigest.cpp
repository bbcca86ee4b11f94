#include "Customers/KeyDigest.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace burlreach {

namespace {

constexpr std::string_view Digits = "0123456789abcdef";
constexpr unsigned BitsOfDigit = 4;
constexpr unsigned MaskOfDigit = 0xf;

static_assert(KeyDigest::Size == SHA256_DIGEST_LENGTH);

}

KeyDigest::KeyDigest(const Bytes& givenBytes)
    : bytes(givenBytes)
{
}

bool KeyDigest::operator==(const KeyDigest& other) const
{
    return CRYPTO_memcmp(this->bytes.data(), other.bytes.data(), Size) == 0;
}

std::string KeyDigest::text() const
{
    std::string text;
    text.reserve(Size * 2);
    for (const unsigned byte : this->bytes) {
        text += Digits[byte >> BitsOfDigit];
        text += Digits[byte & MaskOfDigit];
    }
    return text;
}

KeyDigest digestOfKey(std::string_view key)
{
    KeyDigest::Bytes bytes{};
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): OpenSSL takes the bytes as unsigned char.
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), bytes.data());
    return KeyDigest(bytes);
}

std::optional<KeyDigest> parseKeyDigest(std::string_view text)
{
    if (text.size() != KeyDigest::Size * 2)
        return std::nullopt;
    KeyDigest::Bytes bytes{};
    for (std::size_t index = 0; index < text.size(); ++index) {
        const std::size_t digit = Digits.find(text[index]);
        if (digit == std::string_view::npos)
            return std::nullopt;
        std::uint8_t& byte = bytes.at(index / 2);
        byte = static_cast<std::uint8_t>((byte << BitsOfDigit) | digit);
    }
    return KeyDigest(bytes);
}

}
