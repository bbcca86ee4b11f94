#include "Crashes/RequestDigest.h"

#include "Base/Hash.h"

#include <array>
#include <memory>
#include <xxhash.h>

namespace burlreach {

namespace {

constexpr std::size_t PartCount = 5;

/** The hash of the whole body, whatever parts it is given in. */
XXH128_hash_t hashOfBody(const RequestIdentity& identity)
{
    if (identity.bodyRest.empty())
        return XXH3_128bits(identity.body.data(), identity.body.size());
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(), &XXH3_freeState);
    XXH3_128bits_reset(state.get());
    XXH3_128bits_update(state.get(), identity.body.data(), identity.body.size());
    for (const std::string_view part : identity.bodyRest)
        XXH3_128bits_update(state.get(), part.data(), part.size());
    return XXH3_128bits_digest(state.get());
}

/** Hashes each part separately, so that bytes moved from one part to the next change the digest. */
std::array<XXH128_hash_t, PartCount> hashesOf(const RequestIdentity& identity)
{
    const auto hash = [](std::string_view part) { return XXH3_128bits(part.data(), part.size()); };
    const XXH128_hash_t fields{ .low64 = identity.fields, .high64 = 0 };
    return { hash(identity.host), hash(identity.method), hash(identity.path), fields, hashOfBody(identity) };
}

void appendHex(std::string& text, std::uint64_t value)
{
    constexpr int bitsOfDigit = 4;
    constexpr int bits = 64;
    constexpr std::string_view digits = "0123456789abcdef";
    for (int shift = bits - bitsOfDigit; shift >= 0; shift -= bitsOfDigit)
        text += digits[(value >> static_cast<unsigned>(shift)) % digits.size()];
}

}

RequestDigest digestOf(const RequestIdentity& identity)
{
    const auto hashes = hashesOf(identity);
    const XXH128_hash_t all = XXH3_128bits(hashes.data(), sizeof hashes);
    return { .high = all.high64, .low = all.low64 };
}

std::uint64_t callerHash(std::string_view address)
{
    return hashOf(address);
}

std::string RequestDigest::text() const
{
    std::string text;
    appendHex(text, this->high);
    appendHex(text, this->low);
    return text;
}

}
