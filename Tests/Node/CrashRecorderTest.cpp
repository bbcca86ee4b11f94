// Guards against a crash of all instances, one after the other, when the crash
// record was written to the store. The record was encoded as binary data, which
// JSON, the wire format of burlreach's own store, cannot represent: the JSON
// library threw an exception for the invalid bytes.

#include "Node/CrashRecorder.h"
#include "Node/CrashMessages.h"
#include "StoreClient/NativeStoreProtocol.h"

#include <string>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr Milliseconds Settled{ 300 };

peers::CrashNews someCrashes(std::uint64_t server)
{
    peers::CrashNews crashes;
    const CrashReport told{ .digest = { .high = ~0ULL, .low = 0xbcULL },
        .end
        = { .server = server, .address = { .host = "10.0.0.1", .port = 0xfcbc }, .caller = 0xfeffULL, .at = { 0 } } };
    write(told, { 10 }, *crashes.add_ends());
    return crashes;
}

}

TEST_GROUP(CrashRecorder)
{
    StoreCallNumbers numbers;
    Random random{ 1 };
    CrashRecorder recorder{ this->numbers, this->random };
};

TEST(CrashRecorder, WritesWhatEveryFormOfTheStoreCanHold)
{
    this->recorder.scheduleCheck({ 0 });
    CHECK(!this->recorder.isDue({ 100 }));
    CHECK(this->recorder.isDue(Settled));
    const auto request = this->recorder.nextWrite(someCrashes(~0ULL), nullptr, true, Settled);
    CHECK(request.has_value());
    // Throws if the value is not valid text.
    const HttpRequest message = NativeStoreProtocol().encode(*request);
    CHECK(message.body().size() > 0);
    const auto kept = readCrashRecord(request->value);
    CHECK(kept.has_value());
    const auto end = read(kept->ends(0), { 1000 });
    CHECK(end.has_value());
    CHECK(end->digest == RequestDigest({ .high = ~0ULL, .low = 0xbcULL }));
    CHECK(end->end.server == ~0ULL);
    CHECK(end->end.caller == 0xfeffULL);
    DOUBLES_EQUAL(990, end->end.at.count, 0.1);
}

TEST(CrashRecorder, OnlyTheLeadingWatcherWritesAndOnlyWhatDiffers)
{
    this->recorder.scheduleCheck({ 0 });
    CHECK(!this->recorder.nextWrite(someCrashes(1), nullptr, false, Settled).has_value());
    CHECK(this->recorder.nextDue() > Settled);
    const StoreItem stored{ .key = CrashesKey, .value = writeCrashRecord(someCrashes(1)), .revision = 7 };
    CHECK(!this->recorder.nextWrite(someCrashes(1), &stored, true, Settled).has_value());
    CHECK(this->recorder.nextDue() == Never);
    const auto request = this->recorder.nextWrite(someCrashes(2), &stored, true, Settled);
    CHECK(request.has_value());
    LONGS_EQUAL(7, request->expected);
}

TEST(CrashRecorder, TriesAgainAfterAnAnswerThatIsLost)
{
    this->recorder.scheduleCheck({ 0 });
    const auto request = this->recorder.nextWrite(someCrashes(1), nullptr, true, Settled);
    CHECK(!this->recorder.isDue({ 10000 }));
    CHECK(this->recorder.answered({ .number = request->number, .status = StoreStatus::Unknown }, { 1000 }));
    CHECK(this->recorder.isDue({ 4000 }));
    CHECK(!this->recorder.takeWritten().has_value());
    CHECK(!this->recorder.answered({ .number = request->number, .status = StoreStatus::Done }, { 4000 }));
}

TEST(CrashRecorder, ReadsNothingFromWhatAnotherWriterLeft)
{
    CHECK(!readCrashRecord("no record").has_value());
    CHECK(!readCrashRecord(std::string("\x08\xbc\xff", 3)).has_value());
}
