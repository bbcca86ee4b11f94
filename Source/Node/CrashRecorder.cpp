#include "Node/CrashRecorder.h"

#include <algorithm>
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

CrashRecorder::CrashRecorder(Options givenOptions, StoreCallNumbers& givenNumbers, Random& givenRandom)
    : options(givenOptions)
    , numbers(&givenNumbers)
    , random(&givenRandom)
    , backoff({})
{
}

void CrashRecorder::scheduleCheck(Milliseconds now)
{
    this->dueAt = std::min(this->dueAt, now + this->options.settleDelay);
}

std::optional<StoreRequest> CrashRecorder::nextWrite(
    const peers::CrashNews& kept, const StoreItem* stored, bool leads, Milliseconds now)
{
    const auto storedCrashes = stored ? readCrashRecord(stored->value) : std::optional<peers::CrashNews>(std::in_place);
    if (storedCrashes && crashKeysOf(*storedCrashes) == crashKeysOf(kept)) {
        this->dueAt = Never;
        return std::nullopt;
    }
    this->dueAt = now + this->options.recheckInterval;
    if (!leads)
        return std::nullopt;
    StoreRequest request;
    request.number = this->numbers->next();
    request.operation = StoreOperation::Write;
    request.key = CrashesKey;
    request.value = writeCrashRecord(kept);
    request.expected = stored ? stored->revision : 0;
    request.timeout = this->options.answerTimeout;
    this->value = request.value;
    this->pending = request.number;
    return request;
}

bool CrashRecorder::answered(const StoreAnswer& answer, Milliseconds now)
{
    if (!this->pending || answer.number != this->pending)
        return false;
    this->pending = 0;
    if (answer.status == StoreStatus::Done) {
        this->backoff.reset();
        this->written
            = StoreItem{ .key = CrashesKey, .value = std::move(this->value), .revision = answer.at, .removed = false };
        // Check again: more crashes may have become known during the write.
        this->scheduleCheck(now);
        return true;
    }
    // Before the next try, the watch delivers the current item: after a conflict another instance's, after a lost
    // answer possibly the one written here.
    this->dueAt = now + this->options.settleDelay + this->backoff.next(*this->random);
    return true;
}

}
