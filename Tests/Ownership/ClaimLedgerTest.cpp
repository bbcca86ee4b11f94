#include "Ownership/ClaimLedger.h"

#include <memory>
#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr std::uint64_t Primary = 1;
constexpr std::uint64_t Backup = 2;
constexpr std::uint64_t Caller = 3;

/** Keeps what a ledger sends. */
class KeptOutbox final : public Outbox {
public:
    void askStore(StoreRequest) override { }
    void sendToPeer(const NetworkAddress&, peers::PeerMessage message) override
    {
        this->messages.push_back(std::move(message));
    }

    /** The result of the last claim answer, or RESULT_UNSPECIFIED. */
    peers::ClaimAnswer::Result lastResult() const
    {
        const bool isAnswer = !this->messages.empty() && this->messages.back().has_claim_answer();
        return isAnswer ? this->messages.back().claim_answer().result() : peers::ClaimAnswer::RESULT_UNSPECIFIED;
    }

    std::vector<peers::PeerMessage> messages;
};

peers::Member member(std::uint64_t number)
{
    peers::Member made;
    made.mutable_incarnation()->set_name("entry-" + std::to_string(number));
    made.mutable_incarnation()->set_number(number);
    made.set_address("10.0.0.1");
    made.set_port(static_cast<std::uint32_t>(number));
    return made;
}

std::shared_ptr<const peers::Ownership> ownership(
    std::uint32_t epoch, std::uint64_t primary, std::uint64_t backup, bool lost = false)
{
    auto made = std::make_shared<peers::Ownership>();
    made->set_epoch(epoch);
    for (std::uint64_t number = 1; number <= 4; ++number)
        *made->add_members() = member(number);
    for (std::size_t slot = 0; slot < SlotCount; ++slot) {
        peers::Slot* added = made->add_slots();
        added->set_changed_epoch(epoch);
        added->set_primary(static_cast<std::uint32_t>(primary));
        added->set_backup(static_cast<std::uint32_t>(backup));
        added->set_lost_epoch(lost ? epoch : 0);
    }
    return made;
}

peers::Claim claim(
    std::uint32_t epoch, std::uint64_t claimant, std::uint32_t attempt = 0, bool close = false, bool issued = false)
{
    peers::Claim made;
    made.set_slot_epoch(epoch);
    made.set_request_id("booking");
    made.set_attempt(attempt);
    *made.mutable_claimant() = member(claimant).incarnation();
    made.set_number(claimant);
    made.set_close(close);
    made.set_issued(issued);
    return made;
}

}

TEST_GROUP(ClaimLedger)
{
    KeptOutbox outbox;
    ClaimLedger alone{ { .incarnation = Primary } };
};

TEST(ClaimLedger, GrantsAnIdOnceAndAgainOnlyAfterItWasClosed)
{
    struct Row {
        const char* name;
        peers::Claim claim;
        peers::ClaimAnswer::Result result;
    };
    const std::vector<Row> rows{
        { "first", claim(1, 3), peers::ClaimAnswer::GRANTED },
        { "the same again", claim(1, 3), peers::ClaimAnswer::GRANTED },
        { "another claimant", claim(1, 4), peers::ClaimAnswer::TAKEN },
        { "closing by another is nothing", claim(1, 4, 0, true), peers::ClaimAnswer::RESULT_UNSPECIFIED },
        { "still taken", claim(1, 4), peers::ClaimAnswer::TAKEN },
        { "closed by its holder", claim(1, 3, 0, true), peers::ClaimAnswer::RESULT_UNSPECIFIED },
        { "late claim of the same attempt", claim(1, 4), peers::ClaimAnswer::CLOSED_NOT_RUN },
        { "next attempt", claim(1, 4, 1), peers::ClaimAnswer::GRANTED },
        { "former holder comes late", claim(1, 3), peers::ClaimAnswer::TAKEN },
        { "other version of the slot", claim(2, 4, 2), peers::ClaimAnswer::NOT_OWNER },
    };
    this->alone.adopt(ownership(1, Primary, 0), {}, this->outbox);
    for (const Row& row : rows) {
        this->outbox.messages.clear();
        this->alone.claim(row.claim, row.claim.claimant(), {}, this->outbox);
        LONGS_EQUAL_TEXT(row.result, this->outbox.lastResult(), row.name);
    }
}

TEST(ClaimLedger, GrantsNothingBeforeTheBackupHasTheRecords)
{
    this->alone.adopt(ownership(1, Primary, Backup), {}, this->outbox);
    CHECK(this->outbox.messages.back().has_slot_records());
    this->alone.claim(claim(1, Caller), member(Caller).incarnation(), {}, this->outbox);
    LONGS_EQUAL(peers::ClaimAnswer::NOT_OWNER, this->outbox.lastResult());
    peers::SlotRecordsKept kept;
    kept.mutable_slot()->set_slot(static_cast<std::uint32_t>(slotOf("booking")));
    kept.mutable_slot()->set_epoch(1);
    this->alone.recordsKept(kept, member(Backup).incarnation());
    this->alone.claim(claim(1, Caller), member(Caller).incarnation(), {}, this->outbox);
    CHECK(this->outbox.messages.back().has_claim());
}

TEST(ClaimLedger, BackupRefusesAFormerPrimary)
{
    ClaimLedger backup{ { .incarnation = Backup } };
    backup.adopt(ownership(1, Primary, Backup), {}, this->outbox);
    backup.claim(claim(1, Caller), member(Primary).incarnation(), {}, this->outbox);
    LONGS_EQUAL(peers::ClaimAnswer::GRANTED, this->outbox.lastResult());
    backup.adopt(ownership(2, Backup, 4), {}, this->outbox);
    this->outbox.messages.clear();
    backup.claim(claim(1, 4), member(Primary).incarnation(), {}, this->outbox);
    CHECK(this->outbox.messages.empty());
}

TEST(ClaimLedger, LostRecordsAreUnknownUntilNoRepeatCanCome)
{
    this->alone.adopt(ownership(1, Primary, 0, true), {}, this->outbox);
    this->alone.claim(claim(1, 3), member(3).incarnation(), { 1000 }, this->outbox);
    LONGS_EQUAL(peers::ClaimAnswer::RECORDS_LOST, this->outbox.lastResult());
    // A closing proves nothing while records are lost.
    this->alone.claim(claim(1, 3, 0, true), member(3).incarnation(), { 1000 }, this->outbox);
    this->alone.claim(claim(1, 4), member(4).incarnation(), { 1000 }, this->outbox);
    LONGS_EQUAL(peers::ClaimAnswer::RECORDS_LOST, this->outbox.lastResult());
    this->alone.claim(claim(1, 3, 0, false, true), member(3).incarnation(), { 1000 }, this->outbox);
    LONGS_EQUAL_TEXT(
        peers::ClaimAnswer::GRANTED, this->outbox.lastResult(), "nobody else knows an id that was just issued");
    ClaimLedger later{ { .incarnation = Primary } };
    later.adopt(ownership(1, Primary, 0, true), {}, this->outbox);
    later.claim(claim(1, 3), member(3).incarnation(), { 300001 }, this->outbox);
    LONGS_EQUAL(peers::ClaimAnswer::GRANTED, this->outbox.lastResult());
}
