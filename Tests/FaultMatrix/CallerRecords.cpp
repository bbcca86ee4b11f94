#include "Tests/FaultMatrix/CallerRecords.h"

namespace burlreach {

namespace {

constexpr Milliseconds RunOnceGap{ 50 };
constexpr Milliseconds MayRepeatGap{ 25 };
constexpr Milliseconds CallerPatience{ 700 };
constexpr Milliseconds MeanCost{ 8 };
constexpr int MostSends = 4;

}

CallerRecords::CallerRecords(VirtualFleet& givenFleet)
    : fleet(&givenFleet)
{
}

void CallerRecords::load(Milliseconds until)
{
    this->sendNextRunOnce(until);
    this->sendNextMayRepeat(until);
}

void CallerRecords::sendNextRunOnce(Milliseconds until)
{
    if (this->fleet->time.now() >= until)
        return;
    const std::size_t number = this->nextRunOnce++;
    const std::string id = "booking-" + std::to_string(number);
    const bool numbersAttempts = number % 2 == 0;
    this->sendRunOnce(id, number % this->fleet->size(), numbersAttempts);
    this->fleet->time.after(RunOnceGap, [this, until] { this->sendNextRunOnce(until); });
}

void CallerRecords::sendRunOnce(const std::string& id, std::size_t node, bool numbersAttempts)
{
    CallerRecord& record = this->records[id];
    const int send = ++record.sends;
    const std::uint32_t attempt = record.attempt;
    record.endedNotRun = false;
    record.numbersAttempts = numbersAttempts;
    CallerWork work;
    work.arrival.host = "bookings";
    work.arrival.method = "POST";
    work.arrival.path = "/bookings";
    work.arrival.requestId = id;
    work.arrival.attempt = numbersAttempts ? attempt : 0;
    work.cost = MeanCost;
    work.runsOnce = true;
    work.done = [this, id, node, attempt, send](const RequestEnd& end) { this->ended(id, node, attempt, send, end); };
    this->fleet->request(node, std::move(work));
    this->fleet->time.after(CallerPatience, [this, id, node, send, numbersAttempts] {
        const CallerRecord& present = this->records[id];
        if (!present.settled && present.sends == send)
            this->repeat(id, node, numbersAttempts);
    });
}

void CallerRecords::repeat(const std::string& id, std::size_t node, bool numbersAttempts)
{
    if (this->records[id].sends < MostSends)
        this->sendRunOnce(id, (node + 1) % this->fleet->size(), numbersAttempts);
}

void CallerRecords::ended(
    const std::string& id, std::size_t node, std::uint32_t attempt, int send, const RequestEnd& end)
{
    this->note(end, id);
    CallerRecord& record = this->records[id];
    const bool numbersAttempts = record.numbersAttempts;
    if (end.answered) {
        ++record.answers;
        record.settled = true;
        return;
    }
    if (end.refusal.outcome == RefusedOutcome::Unknown) {
        ++record.unknown;
        if (!record.settled && record.sends == send)
            this->repeat(id, node, numbersAttempts);
        return;
    }
    if (attempt != record.attempt)
        return;
    record.endedNotRun = true;
    if (!numbersAttempts || record.settled) {
        record.settled = true;
        return;
    }
    ++record.attempt;
    this->fleet->time.after(end.refusal.comeBackAfter, [this, id, node] {
        if (!this->records[id].settled)
            this->repeat(id, node, true);
    });
}

void CallerRecords::note(const RequestEnd& end, const std::string& id)
{
    if (!end.answered) {
        ++this->refusals;
        return;
    }
    ++this->goodAnswers;
    if (!id.empty() && end.answeredId != id)
        ++this->foreign;
    const bool isWhole = end.result == AttemptResult::Answered || end.result == AttemptResult::ErrorAnswer;
    if (!isWhole)
        ++this->broken;
}

void CallerRecords::sendNextMayRepeat(Milliseconds until)
{
    if (this->fleet->time.now() >= until)
        return;
    const std::size_t number = this->nextMayRepeat++;
    CallerWork work;
    work.arrival.host = "bookings";
    work.arrival.method = "GET";
    work.arrival.path = "/search";
    work.cost = { this->fleet->random.exponential(MeanCost.count) };
    work.done = [this](const RequestEnd& end) { this->note(end, {}); };
    this->fleet->request(number % this->fleet->size(), std::move(work));
    this->fleet->time.after(MayRepeatGap, [this, until] { this->sendNextMayRepeat(until); });
}

}
