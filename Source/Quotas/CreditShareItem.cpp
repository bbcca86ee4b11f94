#include "Quotas/CreditShareItem.h"

#include <google/protobuf/util/json_util.h>
#include <utility>

namespace burlreach {

std::string creditShareKey(std::size_t share)
{
    std::string key = GrantorKey;
    if (!share)
        return key;
    key += '/';
    key += std::to_string(share);
    return key;
}

std::optional<std::size_t> creditShareOf(std::string_view key)
{
    for (std::size_t share = 0; share < CreditShareCount; ++share) {
        if (key == creditShareKey(share))
            return share;
    }
    return std::nullopt;
}

std::string encodeGrantor(const peers::CreditGrantor& grantor)
{
    std::string text;
    // Converting a message with only plain fields to JSON cannot fail.
    static_cast<void>(google::protobuf::util::MessageToJsonString(grantor, &text));
    return text;
}

std::optional<peers::CreditGrantor> decodeGrantor(const std::string& value)
{
    peers::CreditGrantor grantor;
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    const auto status = google::protobuf::util::JsonStringToMessage(value, &grantor, options);
    return status.ok() ? std::optional(std::move(grantor)) : std::nullopt;
}

bool isSameIncarnation(const peers::Member& left, const peers::Member& right)
{
    return left.incarnation().name() == right.incarnation().name()
        && left.incarnation().number() == right.incarnation().number();
}

bool isSameAddress(const peers::Member& left, const peers::Member& right)
{
    return left.address() == right.address() && left.port() == right.port();
}

}
