#include "Node/CrashRecorder.h"

#include <cstdint>
#include <google/protobuf/util/json_util.h>
#include <set>
#include <tuple>

namespace burlreach {

namespace {

using CrashKey = std::tuple<std::string, std::uint64_t, std::uint32_t>;

/** Identifies the crashes of a record independent of their ages, which change with every encoding. */
std::set<CrashKey> crashKeysOf(const peers::CrashNews& crashes)
{
    std::set<CrashKey> keys;
    for (const peers::ServerEnd& end : crashes.ends())
        keys.emplace(end.digest(), end.server(), end.ordinal());
    return keys;
}

}

std::optional<peers::CrashNews> readCrashRecord(const std::string& value)
{
    peers::CrashNews crashes;
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    const auto status = google::protobuf::util::JsonStringToMessage(value, &crashes, options);
    return status.ok() ? std::optional(std::move(crashes)) : std::nullopt;
}

std::string writeCrashRecord(const peers::CrashNews& crashes)
{
    std::string text;
    // Cannot fail: the message contains only scalar fields and lists of such messages.
    static_cast<void>(google::protobuf::util::MessageToJsonString(crashes, &text));
    return text;
}

CrashRecorder::CrashRecorder(StoreCallNumbers& numbers, Random& random)
    : writer({ .key = CrashesKey }, numbers, random)
{
}

std::optional<StoreRequest> CrashRecorder::nextWrite(
    const peers::CrashNews& kept, const StoreItem* stored, bool leads, Milliseconds now)
{
    const auto storedCrashes = stored ? readCrashRecord(stored->value) : std::optional<peers::CrashNews>(std::in_place);
    if (storedCrashes && crashKeysOf(*storedCrashes) == crashKeysOf(kept)) {
        this->writer.nothingToWrite();
        return std::nullopt;
    }
    return this->writer.write(writeCrashRecord(kept), stored, leads, now);
}

}
