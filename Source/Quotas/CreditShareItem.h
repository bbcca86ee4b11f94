#pragma once

#include "peers.pb.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace burlreach {

/**
 * The number of equal shares into which the quota of every customer is divided. The loss of one holder then costs an
 * eighth of the limit, and customers usually send less than two thirds of it.
 */
inline constexpr std::size_t CreditShareCount = 8;

/** The store key of share 0, and the prefix of the keys of all shares; the same in every dialect of the store. */
inline constexpr const char* GrantorKey = "burlreach/credit-grantor";

/** The store key whose item names the holder of this share. */
std::string creditShareKey(std::size_t share);
/** The share with this key; nullopt when the key is not that of a share. */
std::optional<std::size_t> creditShareOf(std::string_view key);

/** Encodes the message as JSON. */
std::string encodeGrantor(const peers::CreditGrantor& grantor);
/** nullopt when the value is not such a message. */
std::optional<peers::CreditGrantor> decodeGrantor(const std::string& value);

/** True for an item of an earlier version, whose holder grants the whole quota of every customer. */
inline bool grantsWholeQuota(const peers::CreditGrantor& grantor)
{
    return !grantor.released() && grantor.share_count() == 0;
}

/**
 * True for an item without the holder's address: its predecessor may still grant. The holder adds its address when that
 * time is over. So an item with an address also says that no earlier holder grants, whoever reads it.
 */
inline bool isStillWaiting(const peers::CreditGrantor& grantor)
{
    return !grantor.released() && !grantor.member().port();
}

/** True when both name the same run of the same instance. */
bool isSameIncarnation(const peers::Member& left, const peers::Member& right);
/** True when both receive messages at the same address. */
bool isSameAddress(const peers::Member& left, const peers::Member& right);

}
