#include "Tests/Soak/SoakChecker.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>

namespace burlreach {

namespace {

constexpr const char* Answered = "answered";
constexpr const char* Foreign = "not its own or not whole";
constexpr const char* Cut = "cut: ";
constexpr std::string_view AgainstWord = "against ";
/** A field for callers; instances forward it and need not read it. */
constexpr std::string_view OwnField = "Backend-Server";

}

SoakChecker::SoakChecker(const SoakFleet& fleet)
{
    for (std::size_t server = 0; server < fleet.servers(); ++server) {
        std::ifstream journal(fleet.journalPath(server));
        for (std::string line; std::getline(journal, line);) {
            if (line.starts_with(AgainstWord))
                ++this->againstWords[line.substr(
                    AgainstWord.size(), line.find(' ', AgainstWord.size()) - AgainstWord.size())];
            else
                ++this->runs[line];
        }
        this->readArrivals(fleet.arrivalsPath(server));
    }
    for (std::size_t instance = 0; instance < fleet.instanceCount(); ++instance)
        this->readLog(fleet.pathOf("entry-" + std::to_string(instance) + ".log"));
}

void SoakChecker::readArrivals(const std::string& path)
{
    std::ifstream file(path);
    std::string what;
    ReceivedRequest request;
    while (file >> what >> request.requestId >> request.at.count)
        this->received.push_back(request);
}

RetryCount SoakChecker::checkRetries(const RetryLimits& limits)
{
    std::sort(this->received.begin(), this->received.end(),
        [](const ReceivedRequest& left, const ReceivedRequest& right) { return left.at < right.at; });
    RetryTimes times;
    std::set<std::string> known;
    for (const ReceivedRequest& request : this->received) {
        const bool isFirst = known.insert(request.requestId).second;
        (isFirst ? times.requests : times.repeats).push_back(request.at);
    }
    for (const std::string& sentence : retriesExceeded(times, limits))
        this->note(sentence);
    return worstRetryWindow(times, limits);
}

void SoakChecker::readLog(const std::string& path)
{
    std::ifstream log(path);
    for (std::string line; std::getline(log, line);) {
        if (line.find("\"answer_field_unread\"") == std::string::npos)
            continue;
        const nlohmann::json record = nlohmann::json::parse(line, nullptr, false);
        if (record.is_object())
            this->unreadFields.insert(record.value("field", std::string()));
    }
}

CallersResult SoakChecker::read(const std::string& path)
{
    CallersResult told;
    std::ifstream file(path);
    const nlohmann::json result = nlohmann::json::parse(file, nullptr, false);
    if (result.is_discarded())
        return told;
    told.outcomes = result.value("outcomes", told.outcomes);
    told.reasons = result.value("reasons", told.reasons);
    told.answeredBookings = result.value("answered_bookings", told.answeredBookings);
    told.notRunBookings = result.value("not_run_bookings", told.notRunBookings);
    told.cuts = result.value("cuts", told.cuts);
    return told;
}

void SoakChecker::check(const CallersResult& told)
{
    if (!told.outcomes.contains(Answered))
        this->note("no request was answered");
    if (told.outcomes.contains(Foreign))
        this->note("an answer belonged to another request or was incomplete");
    for (const auto& [id, count] : this->runs) {
        if (count > 1)
            this->note("ran twice: " + id);
    }
    for (const std::string& id : told.answeredBookings) {
        if (!this->runs.contains(id))
            this->note("answered but in no journal: " + id);
    }
    for (const std::string& id : told.notRunBookings) {
        if (this->runs.contains(id))
            this->note("refused as not run but ran: " + id);
    }
}

void SoakChecker::checkWords()
{
    for (const auto& [word, count] : this->againstWords)
        this->note(std::to_string(count) + " requests were sent against a server's notice: " + word);
}

void SoakChecker::checkNothingUnread()
{
    for (const std::string& field : this->unreadFields) {
        if (field != OwnField)
            this->note("instances do not read the field \"" + field + "\" of answers");
    }
}

void SoakChecker::checkNeighbours(const CallersResult& told)
{
    if (!told.outcomes.contains(Answered))
        this->note("no other request was answered at the servers that a request crashes");
    if (told.reasons.contains("crashes_backend_servers"))
        this->note("other requests were refused as ones that crash servers");
}

void SoakChecker::checkNothingCut(const CallersResult& told)
{
    for (const std::string& cut : told.cuts)
        this->note("cut: " + cut);
    for (const auto& [outcome, count] : told.outcomes) {
        if (outcome.starts_with(Cut))
            this->note(std::to_string(count) + " requests were cut by planned work (" + outcome + ")");
    }
}

void SoakChecker::checkAllAnswered(const CallersResult& told)
{
    for (const auto& [outcome, count] : told.outcomes) {
        if (outcome != Answered)
            this->note("after all faults: " + std::to_string(count) + " requests ended as " + outcome);
    }
}

}
